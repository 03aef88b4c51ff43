use {
    super::{ClientLimits, Route, Service, Tenant},
    serde::{Deserialize, Serialize},
};

/// A whole version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingConfig {
    /// The version; only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The tenants; without any, requests need no key.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// What clients may send.
    #[serde(default)]
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Returns how large it is: its routes and tenants.
    pub fn size(&self) -> usize {
        self.routes.len() + self.tenants.len()
    }
}
