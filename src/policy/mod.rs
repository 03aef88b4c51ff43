//! Decisions. Pure and synchronous: time and randomness are arguments.

mod admission;
mod box_state;
mod claim;
mod claim_fold;
mod claimant;
mod concurrency;
mod estimate;
mod holder;
mod lease;
mod neighbours;
mod placement;
mod placement_cheapest;
mod placement_keep_work;
mod placement_naive;
mod reclaim;
mod retry;
mod spill;
mod splice;

pub use {
    admission::*, box_state::*, claim::*, claim_fold::*, claimant::*, concurrency::*, estimate::*,
    holder::*, lease::*, neighbours::*, placement::*, placement_cheapest::*,
    placement_keep_work::*, placement_naive::*, reclaim::*, retry::*, spill::*, splice::*,
};
