//! Placement of requests: the policies that the routing table names, the choice of an
//! upstream by its estimated cost, and the choice of another failure domain.

mod cheapest_on_target;
mod choose_upstream;
mod domain_reach;
mod estimate;
mod held_tokens;
mod home;
mod keep_work;
mod memory_use;
mod naive;
mod placement_policy;
mod spill;
mod spread;

pub use {
    cheapest_on_target::*, choose_upstream::*, domain_reach::*, estimate::*, held_tokens::*,
    home::*, keep_work::*, memory_use::*, naive::*, placement_policy::*, spill::*, spread::*,
};
