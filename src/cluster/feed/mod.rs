//! What daemons tell those that follow them: configuration, upstreams, roll-outs.

mod follower;
mod messages;
mod state_source;
mod teller;

pub use {follower::*, messages::*, state_source::*, teller::*};
