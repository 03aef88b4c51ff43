//! Decisions. Pure and synchronous: time and randomness are arguments.

mod admission;
mod box_state;
mod cache_memory;
mod choose_upstream;
mod claim;
mod claim_fold;
mod claimant;
mod clients;
mod concurrency;
mod domain_reach;
mod duty_fitness;
mod duty_log;
mod engine_model;
mod engine_times;
mod estimate;
mod first_event;
mod fleet;
mod holder;
mod hubs;
mod lease;
mod limits;
mod neighbours;
mod placement;
mod placement_cheapest;
mod placement_keep_work;
mod placement_naive;
mod quarantine;
mod quota;
mod reading_speed;
mod reclaim;
mod retry;
mod retry_allowance;
mod retry_situation;
mod sources;
mod spill;
mod splice;
mod stall;
mod usage_due;
mod usage_windows;

pub use {
    admission::*, box_state::*, cache_memory::*, choose_upstream::*, claim::*, claim_fold::*,
    claimant::*, clients::*, concurrency::*, domain_reach::*, duty_fitness::*, duty_log::*,
    engine_model::*, engine_times::*, estimate::*, first_event::*, fleet::*, holder::*, hubs::*,
    lease::*, limits::*, neighbours::*, placement::*, placement_cheapest::*,
    placement_keep_work::*, placement_naive::*, quarantine::*, quota::*, reading_speed::*,
    reclaim::*, retry::*, retry_allowance::*, retry_situation::*, sources::*, spill::*, splice::*,
    stall::*, usage_due::*, usage_windows::*,
};
