use {
    super::{AccountTerms, ClientLimits, Route, Service},
    serde::{Deserialize, Serialize},
};

/// A complete version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingConfig {
    /// The version; later configurations have higher versions.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts; without any, requests need no API key.
    #[serde(default, alias = "tenants")]
    pub accounts: Vec<AccountTerms>,
    /// The limits on client requests.
    #[serde(default)]
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Returns the size of the configuration: the number of routes and client accounts.
    pub fn size(&self) -> usize {
        self.routes.len() + self.accounts.len()
    }
}
