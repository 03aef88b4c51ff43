use {
    super::{peer::Peer, peer_table::PeerTable},
    crate::{cluster::ERAS_LEVEL, policy::DomainDaemon},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// The daemons that can be queried for the configuration and the upstreams.
impl PeerTable {
    /// Returns the other live daemons of the own failure domain that are not leaving: the
    /// candidates for reading the shared source.
    pub fn domain_daemons(&self) -> Vec<DomainDaemon<SocketAddr>> {
        let there = self.domain_candidates(&self.own.domain);
        let daemons = there.map(|p| DomainDaemon {
            rank: p.rank,
            address: p.entry.address,
            cut_from_source: p.status.cut_from_source,
        });
        daemons.collect()
    }

    /// Returns the live daemons that can reach their source, or follow a daemon that can, and whose
    /// source data is younger than `stale_ms`: daemons of the own failure domain first, then by
    /// the age of the data. Live daemons that never sent a message to this one come last.
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
        // The state of daemons that only others have named is unknown.
        let unseen = self.live().filter(|p| p.last_seen_ms.is_none());
        addresses.extend(unseen.map(|p| p.entry.address));
        addresses
    }

    /// Returns false if the build of a daemon is known to know of no eras of the source.
    pub fn may_know_eras(&self, address: SocketAddr) -> bool {
        let level = self.level_at(address);
        level == 0 || level >= ERAS_LEVEL
    }

    /// Records that a daemon has a version of the configuration, or is about to receive it. Only
    /// announcements of the newest version are kept.
    pub fn apply_peer_config(&mut self, address: SocketAddr, version: u64) {
        let announced = self.announced_config.entry(address).or_default();
        *announced = version.max(*announced);
        let newest = self.announced_config.values().copied().max();
        self.announced_config
            .retain(|_, announced| Some(*announced) == newest);
        let name = self.index.at(address);
        if let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) {
            peer.status.config_version = peer.status.config_version.max(version);
        }
    }

    /// Returns the newest version of the configuration that a live daemon announces.
    pub fn newest_config(&self) -> Option<u64> {
        self.live().map(|p| p.status.config_version).max()
    }

    /// Returns the daemons that have the newest configuration, if it is newer than `version`: those
    /// of the own failure domain and those to which it was announced, or the live daemons of the
    /// other domains if there are none.
    pub fn config_holders(&self, version: u64) -> Vec<SocketAddr> {
        let announced = self.announced_config.values().copied().max();
        let newest = self.newest_config().max(announced).filter(|n| *n > version);
        let has_it = |p: &&Peer| Some(p.status.config_version) == newest;
        let (near, far): (Vec<_>, Vec<_>) = self
            .live()
            .filter(has_it)
            .partition(|p| p.entry.domain == self.own.domain);
        let announced = self
            .announced_config
            .iter()
            .filter(|(_, v)| Some(**v) == newest);
        let mut holders: BTreeSet<SocketAddr> = announced.map(|(address, _)| *address).collect();
        holders.extend(near.iter().map(|p| p.entry.address));
        if holders.is_empty() {
            holders.extend(far.iter().map(|p| p.entry.address));
        }
        holders.remove(&self.own.address);
        holders.into_iter().collect()
    }
}
