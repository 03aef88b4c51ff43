use {
    crate::{conf::ConfError, peer::PeerError},
    std::{io, net::SocketAddr},
};

/// Says why a daemon could not start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AppError {
    /// settings: {0}
    Conf(#[from] ConfError),
    /// can't listen on {addr}: {source}
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// links: {0}
    Peer(#[from] PeerError),
    /// metrics: {0}
    Metrics(String),
}
