//! Stand-in of an upstream of the routed path: echoes requests, streams numbered events,
//! and injects faults.

mod behaviour;
mod service;

pub use {behaviour::*, service::*};
