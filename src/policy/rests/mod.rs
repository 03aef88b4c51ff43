//! For how long upstreams that turned a request away want nothing from a daemon.

mod reported_cooldowns;
mod rest_book;
mod rest_time;

pub use {reported_cooldowns::*, rest_book::*, rest_time::*};
