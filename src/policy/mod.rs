//! Decisions. Pure and synchronous: time and randomness are arguments.

mod admission;
mod box_state;
mod cache_memory;
mod choose_upstream;
mod claim;
mod claim_fold;
mod claimant;
mod concurrency;
mod config_lack;
mod demand_meter;
mod duty_log;
mod engine_model;
mod engine_times;
mod estimate;
mod first_event;
mod fleet_plan;
mod fleet_policy;
mod holder;
mod lease;
mod neighbours;
mod placement;
mod placement_cheapest;
mod placement_keep_work;
mod placement_naive;
mod quota_account;
mod quota_book;
mod quota_bounds;
mod quota_limit;
mod quota_wait;
mod reading_speed;
mod reclaim;
mod retry;
mod retry_allowance;
mod retry_situation;
mod source_contact;
mod source_role;
mod spill;
mod splice;
mod stall;
mod usage_windows;
mod zone_reach;

pub use {
    admission::*, box_state::*, cache_memory::*, choose_upstream::*, claim::*, claim_fold::*,
    claimant::*, concurrency::*, config_lack::*, demand_meter::*, duty_log::*, engine_model::*,
    engine_times::*, estimate::*, first_event::*, fleet_plan::*, fleet_policy::*, holder::*,
    lease::*, neighbours::*, placement::*, placement_cheapest::*, placement_keep_work::*,
    placement_naive::*, quota_account::*, quota_book::*, quota_bounds::*, quota_limit::*,
    quota_wait::*, reading_speed::*, reclaim::*, retry::*, retry_allowance::*, retry_situation::*,
    source_contact::*, source_role::*, spill::*, splice::*, stall::*, usage_windows::*,
    zone_reach::*,
};
