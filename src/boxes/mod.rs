//! The boxes: what is known of each, and what this daemon has measured of upstreams.

mod box_table;
mod cache_hints;
mod upstream_stats;

pub use {box_table::*, cache_hints::*, upstream_stats::*};
