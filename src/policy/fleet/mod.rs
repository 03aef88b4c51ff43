//! How many upstreams a service is to have, and of which kind.

mod demand;
mod plan;
mod policy;

pub use {demand::*, plan::*, policy::*};
