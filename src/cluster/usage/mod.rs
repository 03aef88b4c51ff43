//! How counts of requests reach the holder of the duties.

mod usage_announcer;
mod usage_part;

pub use {usage_announcer::*, usage_part::*};
