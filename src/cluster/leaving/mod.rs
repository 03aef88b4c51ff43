//! Announces upstreams whose answers say that they leave to all daemons.

mod leaving_announcer;
mod leaving_part;
mod leaving_queue;

pub(super) use leaving_announcer::*;
pub use {leaving_part::*, leaving_queue::*};
