//! Which requests are held back because upstreams end under them.

mod bounds;
mod crash_book;
mod suspect;

use suspect::*;
pub use {bounds::*, crash_book::*};
