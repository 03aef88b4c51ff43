use {
    super::{peer::Peer, peer_table::PeerTable},
    crate::cluster::RELAYS_LEVEL,
    std::net::SocketAddr,
};

/// The daemons that can pass requests on to upstreams.
impl PeerTable {
    /// Returns the live daemons that are not leaving and whose builds may pass requests on to upstreams:
    /// those of the own failure domain, and the others.
    pub fn relay_candidates(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self
            .possible_relays()
            .partition(|p| p.entry.domain == self.own.domain);
        let addresses = |peers: Vec<&Peer>| peers.iter().map(|p| p.entry.address).collect();
        (addresses(near), addresses(far))
    }

    /// Returns whether there is any such daemon.
    pub fn has_relay_candidates(&self) -> bool {
        self.possible_relays().next().is_some()
    }

    /// The build of a daemon that has not sent a message to this one is unknown.
    fn possible_relays(&self) -> impl Iterator<Item = &Peer> {
        let candidates = self.all().filter(|p| p.is_candidate(self.now_ms));
        candidates.filter(|p| p.level == 0 || p.level >= RELAYS_LEVEL)
    }
}
