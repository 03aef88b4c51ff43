//! How many upstreams a service is to have, and of which kind.

mod demand;
mod known_fleet;
mod plan;
mod policy;

pub use {demand::*, known_fleet::*, plan::*, policy::*};
