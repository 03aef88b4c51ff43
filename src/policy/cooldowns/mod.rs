//! For how long upstreams that turned a request away want nothing from a daemon.

mod cooldown_table;
mod reported_cooldowns;
mod retry_after;

pub use {cooldown_table::*, reported_cooldowns::*, retry_after::*};
