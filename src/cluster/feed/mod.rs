//! What daemons tell those that follow them: configuration, upstreams, roll-outs.

mod feed_forms;
mod follower;
mod messages;
mod packed_news;
mod state_source;
mod teller;

pub use {feed_forms::*, follower::*, messages::*, packed_news::*, state_source::*, teller::*};
