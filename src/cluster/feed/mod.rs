//! What daemons tell those that follow them: configuration, upstreams, roll-outs.

mod feed_forms;
mod follower;
mod messages;
mod packed_updates;
mod state_source;
mod teller;

pub use {feed_forms::*, follower::*, messages::*, packed_updates::*, state_source::*, teller::*};
