//! For how long upstreams that turned a request away want nothing from a daemon.

mod cooldown_table;
mod reported_cooldowns;
mod rest_time;

pub use {cooldown_table::*, reported_cooldowns::*, rest_time::*};
