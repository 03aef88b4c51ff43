use {
    crate::{
        gateway::Gateway,
        policy::{SourceTries, source_role},
    },
    std::net::SocketAddr,
};

/// Whom a daemon learns configuration and upstreams from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// From none yet: its seeds were asked who there is.
    Unknown,
    /// From the shared source alone.
    Shared,
    /// From the shared source, and from a daemon that may reach it while this
    /// one can't.
    SharedAnd(SocketAddr),
    /// From another daemon.
    Daemon(SocketAddr),
}

impl StateSource {
    /// Chooses by what other daemons told of themselves. `current` is the
    /// daemon that was asked last, `tries` how often in a row none had news.
    pub fn choose(gateway: &Gateway, current: Option<SocketAddr>, tries: SourceTries) -> Self {
        let peers = gateway.peers.lock();
        let own_rank = peers.own().rank();
        let domain = peers.domain_daemons();
        let newest_config = peers.newest_config();
        let others = peers.best_informed(gateway.read_schedule.stale_ms());
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
        // The same one for as long as it has news: it then tells only changes.
        let failed = tries.unreachable + tries.stale;
        let is_listed = |address: &SocketAddr| others.contains(address);
        let other = match current.filter(is_listed) {
            Some(current) if failed == 0 => Some(current),
            _ => others.get(failed % others.len().max(1)).copied(),
        };
        other.map_or(Self::Shared, Self::SharedAnd)
    }

    /// Returns whether the daemon reads the shared source itself.
    pub fn reads_shared_source(&self) -> bool {
        matches!(self, Self::Shared | Self::SharedAnd(_))
    }

    /// Returns the daemon to ask.
    pub fn daemon(&self) -> Option<SocketAddr> {
        match self {
            Self::Unknown | Self::Shared => None,
            Self::SharedAnd(address) | Self::Daemon(address) => Some(*address),
        }
    }
}

fn awaits_seeds(gateway: &Gateway) -> bool {
    let own = gateway.settings.listen.peers;
    let peers = &gateway.settings.peers;
    let mut seeds = peers.seeds.iter();
    gateway.steady_ms() < peers.seeds_patience_ms && seeds.any(|seed| *seed != own)
}
