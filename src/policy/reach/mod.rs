//! Which upstreams this daemon can open connections to.

mod upstream_links;

pub use upstream_links::*;
