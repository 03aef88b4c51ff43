use {
    crate::names::{FailureDomain, ServiceName, UpstreamId, UpstreamVersion},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An upstream as its own record in the source describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The id of this incarnation.
    pub id: UpstreamId,
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The failure domain that the upstream runs in.
    #[serde(alias = "zone")]
    pub domain: FailureDomain,
    /// The version of the upstream's software.
    #[serde(default)]
    pub version: UpstreamVersion,
    /// The number of requests that the upstream runs at once.
    pub slots: u32,
    /// True if the upstream is about to leave and takes no new requests.
    #[serde(default)]
    pub draining: bool,
    /// True if the machine may be reclaimed at short notice.
    #[serde(default)]
    pub reclaimable: bool,
    /// The offset of this record in the source; later records have higher offsets.
    #[serde(default, alias = "heartbeat")]
    pub offset: u64,
}
