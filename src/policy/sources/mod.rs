//! From whom a daemon learns configuration and upstreams.

mod contact;
mod missing_config;
mod read_schedule;
mod role;
mod source_health;

pub use {contact::*, missing_config::*, read_schedule::*, role::*, source_health::*};
