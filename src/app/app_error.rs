use {
    crate::{conf::ConfError, peer::PeerError},
    std::{io, net::SocketAddr},
};

/// Why a daemon could not start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AppError {
    /// settings can't be loaded: {0}
    Conf(#[from] ConfError),
    /// can't listen on {addr}: {source}
    Listen {
        /// The address to listen on.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// connections to peers can't be set up: {0}
    Peer(#[from] PeerError),
    /// metrics can't be set up: {0}
    Metrics(String),
}
