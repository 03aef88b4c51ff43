//! Which upstreams a daemon reaches itself, and through which other daemons it reaches the rest.

mod broken_link;
mod link_failure;
mod link_path;
mod link_verdict;
mod upstream_links;

use broken_link::*;
pub use {link_failure::*, link_path::*, link_verdict::*, upstream_links::*};
