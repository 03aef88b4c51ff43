use {
    super::Gateway,
    crate::{
        clock::BootInstant,
        routing::{AccountTerms, ClientLimits, RouteTable, RoutingConfig},
    },
    std::sync::Arc,
};

/// The configuration in force.
impl Gateway {
    /// Returns the routes in force, or `None` before the first configuration.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Returns the limits on client requests in the configuration in force, or the defaults
    /// before the first one.
    pub fn client_limits(&self) -> ClientLimits {
        let limits = self.table().map(|t| t.config().limits.clone());
        limits.unwrap_or_default()
    }

    /// Returns the version of the configuration in force, or 0 before the first one.
    pub fn config_version(&self) -> u64 {
        self.table().map_or(0, |t| t.version())
    }

    /// Puts a configuration in force. Returns false, and changes nothing, if its version is not
    /// newer than the one in force.
    pub fn apply_config(&self, config: RoutingConfig) -> bool {
        let mut table = self.table.write();
        if table
            .as_ref()
            .is_some_and(|t| t.version() >= config.version)
        {
            return false;
        }
        let index_started = BootInstant::now();
        let next = RouteTable::new(config);
        log::info!(
            target: "config",
            "in force. version={} size={} index_ms={}",
            next.version(),
            next.config().size(),
            index_started.elapsed().as_millis()
        );
        *table = Some(Arc::new(next));
        drop(table);
        self.changes.send_modify(|n| *n += 1);
        true
    }

    /// Returns the client accounts of the configuration in force.
    pub fn account_terms(&self) -> Vec<AccountTerms> {
        let table = self.table();
        table.map_or_else(Vec::new, |t| t.config().accounts.clone())
    }
}
