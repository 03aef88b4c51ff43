use {
    super::{AccountTerms, Route, RoutingConfig, Service},
    crate::names::ServiceName,
    std::{collections::HashMap, sync::Arc},
};

/// A configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Arc<RoutingConfig>,
    /// By host, the routes with the longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<AccountTerms>>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: RoutingConfig) -> Self {
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

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Finds the route with the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Finds the client account that holds a key.
    pub fn find_account(&self, key: &str) -> Option<&Arc<AccountTerms>> {
        self.by_key.get(key)
    }

    /// Finds a service.
    pub fn find_service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns whether requests need a key.
    pub fn needs_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }
}
