//! The feed by which daemons follow each other: configuration, upstreams and rollouts.

mod feed_protocols;
mod feed_server;
mod follower;
mod messages;
mod packed_updates;
mod state_source;

pub use {
    feed_protocols::*, feed_server::*, follower::*, messages::*, packed_updates::*, state_source::*,
};
