//! From whom a daemon learns configuration and upstreams.

mod config_lack;
mod contact;
mod read_schedule;
mod role;
mod source_silence;

pub use {config_lack::*, contact::*, read_schedule::*, role::*, source_silence::*};
