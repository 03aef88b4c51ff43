//! Quarantine of requests that repeatedly crash the upstreams that run them.

mod bounds;
mod crash_table;
mod suspect;

use suspect::*;
pub use {bounds::*, crash_table::*};
