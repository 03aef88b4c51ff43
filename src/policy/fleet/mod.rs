//! Fleet planning: how many upstreams a service needs, and of which price class.

mod demand;
mod known_fleet;
mod plan;
mod policy;

pub use {demand::*, known_fleet::*, plan::*, policy::*};
