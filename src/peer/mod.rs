//! Daemon to daemon: typed messages, `bincode` over `h2` streams.

mod codec;
mod message;
mod peer_client;
mod peer_error;
mod peer_server;
mod tls;

pub use {codec::*, message::*, peer_client::*, peer_error::*, peer_server::*, tls::*};
