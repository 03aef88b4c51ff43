//! From whom a daemon learns configuration and upstreams.

mod config_lack;
mod contact;
mod role;

pub use {config_lack::*, contact::*, role::*};
