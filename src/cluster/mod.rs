//! What equal daemons tell each other, and the duties that one has at a time.

mod config_follower;
mod config_message;
mod config_teller;
mod digest;
mod digest_exchange;
mod duty_borders;
mod duty_runner;
mod fleet_scaler;
mod peer_table;
mod state_feed;
mod state_source;

pub use {
    config_follower::*, config_message::*, config_teller::*, digest::*, digest_exchange::*,
    duty_borders::*, duty_runner::*, fleet_scaler::*, peer_table::*, state_feed::*,
    state_source::*,
};
