//! Upstreams whose answers say that they leave: told to all.

mod leaving_part;
mod leaving_queue;
mod leaving_teller;

pub(super) use leaving_teller::*;
pub use {leaving_part::*, leaving_queue::*};
