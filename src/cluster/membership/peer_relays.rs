use {super::peer_table::PeerTable, crate::cluster::RELAYS_LEVEL, std::net::SocketAddr};

/// The daemons that can pass requests on to upstreams.
impl PeerTable {
    /// Returns the live daemons that are not leaving and whose builds may pass requests on to upstreams:
    /// those of the own failure domain, and the others. The build of a daemon that has not sent a
    /// message to this one is unknown.
    pub fn relay_candidates(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let live = self.all().filter(|p| p.is_candidate(self.now_ms));
        let usable = live.filter(|p| p.level == 0 || p.level >= RELAYS_LEVEL);
        let (near, far): (Vec<_>, Vec<_>) = usable.partition(|p| p.entry.domain == self.own.domain);
        let addresses =
            |peers: Vec<&super::peer::Peer>| peers.iter().map(|p| p.entry.address).collect();
        (addresses(near), addresses(far))
    }
}
