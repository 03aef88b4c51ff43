use {crate::names::UpstreamId, std::net::SocketAddr};

/// The other end of a pooled connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// An upstream.
    Upstream(UpstreamId),
    /// Another daemon, which passes requests on to upstreams.
    Daemon(SocketAddr),
}
