//! Links to other daemons, and what travels on them.

mod journal;
mod link_table;

pub use {journal::*, link_table::*};
