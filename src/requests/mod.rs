//! The state of requests: their specification, the answer so far, and the box that owns each.

mod ending;
mod record;
mod request_cell;
mod request_table;
mod spec;

pub use {ending::*, record::*, request_cell::*, request_table::*, spec::*};
