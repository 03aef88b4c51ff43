//! Which requests are held back because upstreams end under them.

mod bounds;
mod crash_table;
mod suspect;

use suspect::*;
pub use {bounds::*, crash_table::*};
