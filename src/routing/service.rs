use {
    crate::names::{FailureDomain, ServiceName},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What a model service's upstreams can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCapacity {
    /// How many requests an upstream runs at once.
    pub slots: u32,
    /// How many tokens its memory holds.
    pub memory_tokens: u64,
}

/// Within which bounds, and at which prices, a service's upstreams are ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Autoscaling {
    /// The least upstreams of a domain.
    #[serde(alias = "min_per_zone")]
    pub min_per_domain: u32,
    /// The most upstreams of a domain.
    #[serde(alias = "max_per_zone")]
    pub max_per_domain: u32,
    /// How long a new upstream takes to serve, in seconds.
    pub boot_s: f64,
    /// What a reclaimable upstream costs, as a share of an on-demand one;
    /// none, if none are offered.
    #[serde(default)]
    pub reclaimable_price: Option<f64>,
    /// What a second of an upstream costs, by domain.
    #[serde(default, alias = "zone_prices")]
    pub domain_prices: BTreeMap<FailureDomain, f64>,
}

/// A set of upstreams that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// How many connections an upstream takes from all daemons together.
    pub max_connections: u32,
    /// Set for model services.
    #[serde(default)]
    pub engine: Option<EngineCapacity>,
    /// Set if its upstreams are ordered by the system.
    #[serde(default)]
    pub autoscaling: Option<Autoscaling>,
}
