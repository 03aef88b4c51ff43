use {
    super::{AccountTerms, ClientLimits, Route, Service},
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
    /// The client accounts; without any, requests need no key.
    #[serde(default, alias = "tenants")]
    pub accounts: Vec<AccountTerms>,
    /// What clients may send.
    #[serde(default)]
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Returns how large it is: its routes and client accounts.
    pub fn size(&self) -> usize {
        self.routes.len() + self.accounts.len()
    }
}
