use {
    super::{peer::Peer, peer_table::PeerTable},
    crate::{
        cluster::ORIGINS_LEVEL,
        policy::{AttemptKey, KeeperCandidate, choose_keepers},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

/// The daemons that know where streams began.
impl PeerTable {
    /// Returns the daemons that keep the origin of a stream: live hubs of several failure domains, the own one
    /// first.
    pub fn origin_keepers(&self, key: AttemptKey) -> Vec<SocketAddr> {
        let live = self.index.domains().flat_map(|d| self.hubs_of(d));
        let candidates = live.filter(|p| self.may_keep_origins(p));
        let candidates = candidates.map(|p| KeeperCandidate {
            address: p.entry.address,
            domain: &p.entry.domain,
        });
        let candidates: Vec<KeeperCandidate> = candidates.collect();
        choose_keepers(key, &self.own.domain, &candidates)
    }

    /// Returns the daemons that may know where streams began: the live hubs of the own failure domain, and
    /// all other hubs. Silent ones may only be cut off.
    pub fn origin_daemons(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let addresses = |hubs: Vec<&Peer>| -> BTreeSet<SocketAddr> {
            let may_know = hubs.into_iter().filter(|p| self.may_keep_origins(p));
            may_know.map(|p| p.entry.address).collect()
        };
        let near = addresses(self.hubs_of(&self.own.domain).collect());
        let far = addresses(self.hubs_anywhere().collect());
        let far = far.difference(&near).copied().collect();
        (near.into_iter().collect(), far)
    }

    /// Returns whether the build of a daemon knows origins. That of a daemon that has not sent a message to
    /// this one is unknown.
    fn may_keep_origins(&self, peer: &Peer) -> bool {
        let is_other = peer.entry.address != self.own.address;
        is_other && (peer.level == 0 || peer.level >= ORIGINS_LEVEL)
    }
}
