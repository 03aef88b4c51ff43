//! Requests: what was asked, how far its answer is, and who owns it.

mod ending;
mod record;
mod request_cell;
mod request_table;
mod spec;

pub use {ending::*, record::*, request_cell::*, request_table::*, spec::*};
