use {
    super::{peer::Peer, peer_table::PeerTable},
    crate::policy::DomainDaemon,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Who may be asked for configuration and upstreams.
impl PeerTable {
    /// Returns the live daemons of the own failure domain that could read the
    /// shared source.
    pub fn domain_daemons(&self) -> Vec<DomainDaemon<SocketAddr>> {
        let there = self.of_domain(&self.own.domain);
        let daemons = there.map(|p| DomainDaemon {
            rank: p.rank,
            address: p.entry.address,
            cut_from_source: p.status.cut_from_source,
        });
        daemons.collect()
    }

    /// Returns the live daemons that can reach their source, or follow one that
    /// can, and whose news are younger than `stale_ms`: those of the own failure
    /// domain first, then by the age of their news.
    pub fn best_informed(&self, stale_ms: u64) -> Vec<SocketAddr> {
        let informed = self
            .live()
            .filter(|p| !p.status.cut_from_source && p.status.source_age_ms < stale_ms);
        let mut informed: Vec<_> = informed
            .map(|p| {
                let is_far = p.entry.domain != self.own.domain;
                (is_far, p.status.source_age_ms, p.entry.address)
            })
            .collect();
        informed.sort();
        let mut addresses: Vec<_> = informed.into_iter().map(|(.., a)| a).collect();
        // Of those that are only told of, nothing is known: they come last.
        let told = self.live().filter(|p| p.last_seen_ms.is_none());
        addresses.extend(told.map(|p| p.entry.address));
        addresses
    }

    /// Takes in that a daemon has a version of the configuration, or will soon.
    pub fn apply_peer_config(&mut self, address: SocketAddr, version: u64) {
        let told = self.announced_config.entry(address).or_default();
        *told = version.max(*told);
        let newest = self.announced_config.values().copied().max();
        self.announced_config
            .retain(|_, told| Some(*told) == newest);
        let name = self.index.at(address);
        if let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) {
            peer.status.config_version = peer.status.config_version.max(version);
        }
    }

    /// Returns the newest version of the configuration that a live daemon has.
    pub fn newest_config(&self) -> Option<u64> {
        self.live().map(|p| p.status.config_version).max()
    }

    /// Returns the daemons that have the newest configuration, if it is later
    /// than `version`: those of the own failure domain and those told of it
    /// lately, or all if there are none.
    pub fn config_holders(&self, version: u64) -> Vec<SocketAddr> {
        let told = self.announced_config.values().copied().max();
        let newest = self.newest_config().max(told).filter(|n| *n > version);
        let has_it = |p: &&Peer| Some(p.status.config_version) == newest;
        let (near, far): (Vec<_>, Vec<_>) = self
            .live()
            .filter(has_it)
            .partition(|p| p.entry.domain == self.own.domain);
        let told = self
            .announced_config
            .iter()
            .filter(|(_, v)| Some(**v) == newest);
        let mut holders: BTreeSet<SocketAddr> = told.map(|(address, _)| *address).collect();
        holders.extend(near.iter().map(|p| p.entry.address));
        if holders.is_empty() {
            holders.extend(far.iter().map(|p| p.entry.address));
        }
        holders.remove(&self.own.address);
        holders.into_iter().collect()
    }
}
