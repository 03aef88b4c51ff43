//! The known state of all boxes, and this daemon's measurements of the upstreams.

mod box_table;
mod cache_hints;
mod upstream_stats;

pub use {box_table::*, cache_hints::*, upstream_stats::*};
