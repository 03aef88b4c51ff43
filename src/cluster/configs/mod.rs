//! Distribution of large configurations among daemons.

mod config_follower;
mod config_message;
mod config_server;

pub use {config_follower::*, config_message::*, config_server::*};
