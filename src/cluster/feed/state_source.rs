use {
    crate::{
        gateway::Gateway,
        policy::{SourceTries, source_role},
    },
    std::net::SocketAddr,
};

/// The source from which a daemon currently gets configuration and upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// None yet: the daemon waits for its seeds to answer which daemons there are.
    Unknown,
    /// Only the shared source.
    Shared,
    /// The shared source, and another daemon, which may reach the shared source while this
    /// one can't.
    SharedAnd(SocketAddr),
    /// Another daemon.
    Daemon(SocketAddr),
}

impl StateSource {
    /// Chooses the source by the state that other daemons announced. `current` is the daemon
    /// that was queried last, and `tries` counts the queries since the last current answer.
    pub fn choose(gateway: &Gateway, current: Option<SocketAddr>, tries: SourceTries) -> Self {
        let peers = gateway.peers.lock();
        let own_rank = peers.own().rank();
        let mut domain = peers.domain_daemons();
        let newest_config = peers.newest_config();
        let mut others = peers.best_informed(gateway.read_schedule.stale_ms());
        if gateway.directory.read().has_been_restored() {
            // Builds that know of no eras take offsets that were given out again for former ones.
            domain.retain(|daemon| peers.may_know_eras(daemon.address));
            others.retain(|address| peers.may_know_eras(*address));
        }
        drop(peers);
        if others.is_empty() && domain.is_empty() && awaits_seeds(gateway) {
            return Self::Unknown;
        }
        if let Some(version) = newest_config {
            gateway.record_newest_config(version);
        }
        let role = source_role(own_rank, &domain, gateway.read_schedule.readers);
        if let Some(daemon) = role.next(tries, &others) {
            return Self::Daemon(daemon);
        }
        // Keeps the same daemon while its answers are current, because it then has to send
        // changes only.
        let failed = tries.unreachable + tries.stale;
        let is_candidate = |address: &SocketAddr| others.contains(address);
        let other = match current.filter(is_candidate) {
            Some(current) if failed == 0 => Some(current),
            _ => others.get(failed % others.len().max(1)).copied(),
        };
        other.map_or(Self::Shared, Self::SharedAnd)
    }

    /// Returns whether the daemon reads the shared source itself.
    pub fn reads_shared_source(&self) -> bool {
        matches!(self, Self::Shared | Self::SharedAnd(_))
    }

    /// Returns the daemon to query, if any.
    pub fn daemon(&self) -> Option<SocketAddr> {
        match self {
            Self::Unknown | Self::Shared => None,
            Self::SharedAnd(address) | Self::Daemon(address) => Some(*address),
        }
    }
}

/// Returns whether there are other seeds that may still answer after the start.
fn awaits_seeds(gateway: &Gateway) -> bool {
    let own = gateway.settings.listen.peers;
    let peers = &gateway.settings.peers;
    let mut seeds = peers.seeds.iter();
    gateway.steady_ms() < peers.seeds_patience_ms && seeds.any(|seed| *seed != own)
}
