use {
    crate::names::{FailureDomain, ServiceName, UpstreamId, UpstreamVersion},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Which life of it.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    #[serde(alias = "zone")]
    pub domain: FailureDomain,
    /// The version of its software.
    #[serde(default)]
    pub version: UpstreamVersion,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave: no new work.
    #[serde(default)]
    pub draining: bool,
    /// Whether it may be taken away at short notice.
    #[serde(default)]
    pub reclaimable: bool,
    /// Where in its source this stands: what is said later has a higher one.
    #[serde(default, alias = "heartbeat")]
    pub offset: u64,
}
