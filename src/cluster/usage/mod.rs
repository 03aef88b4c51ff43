//! How counts of requests reach the holder of the duties.

mod usage_part;
mod usage_teller;

pub use {usage_part::*, usage_teller::*};
