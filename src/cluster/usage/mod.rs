//! Announces usage counts (requests by client account) to the holder of the duties.

mod usage_announcer;
mod usage_part;

pub use {usage_announcer::*, usage_part::*};
