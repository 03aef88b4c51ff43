//! Where a daemon gets configurations and upstreams from: it reads the shared source itself
//! or follows daemons that do.

mod contact;
mod missing_config;
mod read_schedule;
mod role;
mod source_health;

pub use {contact::*, missing_config::*, read_schedule::*, role::*, source_health::*};
