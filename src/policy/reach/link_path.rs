use std::net::SocketAddr;

/// How a request gets to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkPath {
    /// Over a connection of this daemon.
    Direct,
    /// Through one of these daemons, which reach the upstream.
    Relayed(Vec<SocketAddr>),
    /// Not at all: neither this daemon nor another one that answers reaches it.
    None,
}
