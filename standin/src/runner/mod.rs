//! Stand-in of an upstream of the routed path: echoes requests, streams numbered events,
//! and injects faults.

mod behaviour;
mod capacity;
mod crashing_part;
mod service;

pub use {behaviour::*, capacity::Capacity, crashing_part::CrashingPart, service::*};
use {
    capacity::{Occupancy, take_slot},
    crashing_part::PROMPT_PARTS,
};
