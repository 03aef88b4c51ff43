//! Calls between daemons: typed messages, encoded with `bincode`, over HTTP/2 streams.

mod codec;
mod message;
mod peer_client;
mod peer_error;
mod peer_server;
mod tls;

pub use {codec::*, message::*, peer_client::*, peer_error::*, peer_server::*, tls::*};
