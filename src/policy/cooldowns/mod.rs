//! Cooldowns of upstreams: how long an upstream that refused a request with a retry time is
//! not sent requests.

mod cooldown_table;
mod reported_cooldowns;
mod retry_after;

pub use {cooldown_table::*, reported_cooldowns::*, retry_after::*};
