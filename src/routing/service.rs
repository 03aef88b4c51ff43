use {
    crate::names::{FailureDomain, ServiceName},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The capacity of each upstream of a model service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCapacity {
    /// The number of requests that an upstream runs at once.
    pub slots: u32,
    /// The number of tokens that the upstream's memory holds.
    pub memory_tokens: u64,
}

/// The bounds and the prices for ordering a service's upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Autoscaling {
    /// The minimum number of upstreams per failure domain.
    #[serde(alias = "min_per_zone")]
    pub min_per_domain: u32,
    /// The maximum number of upstreams per failure domain.
    #[serde(alias = "max_per_zone")]
    pub max_per_domain: u32,
    /// The time until a new upstream serves requests, in seconds.
    pub boot_s: f64,
    /// The price of a reclaimable upstream as a share of an on-demand one's; none if no
    /// reclaimable upstreams are offered.
    #[serde(default)]
    pub reclaimable_price: Option<f64>,
    /// The price of an upstream per second, by failure domain.
    #[serde(default, alias = "zone_prices")]
    pub domain_prices: BTreeMap<FailureDomain, f64>,
}

/// A set of upstreams that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// The maximum number of connections of an upstream, over all daemons.
    pub max_connections: u32,
    /// The capacity of each upstream; set for model services only.
    #[serde(default)]
    pub engine: Option<EngineCapacity>,
    /// The autoscaling bounds; set if the system orders the service's upstreams.
    #[serde(default)]
    pub autoscaling: Option<Autoscaling>,
}
