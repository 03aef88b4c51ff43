//! Links to other daemons, and the journals of the changes that are sent on them.

mod journal;
mod link_table;

pub use {journal::*, link_table::*};
