use {
    super::{AccountTerms, Route, RoutingConfig, Service},
    crate::names::ServiceName,
    std::{collections::HashMap, sync::Arc},
};

/// A routing configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Arc<RoutingConfig>,
    /// The routes of each host, longest path prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<AccountTerms>>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl RouteTable {
    /// Indexes a configuration. Numbers beyond their limits are set to these.
    pub fn new(config: RoutingConfig) -> Self {
        let config = config.within_limits();
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let routes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for terms in &config.accounts {
            let shared = Arc::new(terms.clone());
            for key in &terms.keys {
                by_key.insert(key.clone(), shared.clone());
            }
        }
        let services = config.services.iter();
        let services = services.map(|s| (s.name.clone(), Arc::new(s.clone())));
        let services = services.collect();
        Self {
            config: Arc::new(config),
            by_host,
            by_key,
            services,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Finds the route of a host with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Finds the client account of an API key.
    pub fn find_account(&self, key: &str) -> Option<&Arc<AccountTerms>> {
        self.by_key.get(key)
    }

    /// Finds a service by its name.
    pub fn find_service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns true if requests need an API key, that is, if there are client accounts.
    pub fn needs_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }
}
