use {
    crate::{
        gateway::Gateway,
        policy::{SourceRole, source_role},
    },
    std::net::SocketAddr,
};

/// Older answers of the source are no news, in milliseconds.
pub const SOURCE_STALE_MS: u64 = 1_200;

/// Whom a daemon learns configuration and upstreams from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
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
    /// daemon that was asked last, `failures` how often in a row it had no news.
    pub fn choose(gateway: &Gateway, current: Option<SocketAddr>, failures: usize) -> Self {
        let peers = gateway.peers.lock();
        let own_rank = peers.own().rank();
        let domain = peers.domain_daemons();
        let newest_config = peers.newest_config();
        let others = peers.best_informed(SOURCE_STALE_MS);
        drop(peers);
        if let Some(version) = newest_config {
            gateway.note_newest_config(version);
        }
        // The same one for as long as it has news: it then tells only changes.
        let is_listed = |address: &SocketAddr| others.contains(address);
        let other = match current.filter(is_listed) {
            Some(current) if failures == 0 => Some(current),
            _ => others.get(failures % others.len().max(1)).copied(),
        };
        match source_role(own_rank, &domain) {
            SourceRole::Follows(readers) if failures < readers.len() => {
                Self::Daemon(readers[failures])
            }
            // Those that should be followed have no news: their silence will
            // be known to all soon.
            _ => other.map_or(Self::Shared, Self::SharedAnd),
        }
    }

    /// Returns whether the daemon reads the shared source itself.
    pub fn reads_shared_source(&self) -> bool {
        !matches!(self, Self::Daemon(_))
    }

    /// Returns the daemon to ask.
    pub fn daemon(&self) -> Option<SocketAddr> {
        match self {
            Self::Shared => None,
            Self::SharedAnd(address) | Self::Daemon(address) => Some(*address),
        }
    }
}
