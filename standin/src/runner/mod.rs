//! An upstream of the routed path: answers requests byte for byte, streams
//! numbered events, and misbehaves on order.

mod behaviour;
mod service;

pub use {behaviour::*, service::*};
