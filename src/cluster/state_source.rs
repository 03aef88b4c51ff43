use {
    crate::{
        gateway::Gateway,
        policy::{SourceRole, source_role},
    },
    std::net::SocketAddr,
};

/// After how long without an answer of the source others are asked that may
/// know more, in milliseconds.
const SOURCE_STALE_MS: u64 = 1_800;

/// Whom a daemon learns configuration and back ends from now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// From the shared source alone.
    Shared,
    /// From the shared source, and from a daemon that knows more.
    SharedAnd(SocketAddr),
    /// From a daemon that knows more, while the shared source can't be reached.
    InPlaceOfShared(SocketAddr),
    /// From a daemon of the zone that reads the shared source.
    Daemon(SocketAddr),
    /// From a daemon that was heard of the source later than those of the zone.
    BetterInformed(SocketAddr),
}

impl StateSource {
    /// Chooses by what other daemons told of themselves, after some failures
    /// in a row.
    pub fn choose(gateway: &Gateway, failures: usize) -> Self {
        let own_age_ms = gateway.source_age_ms().unwrap_or(u64::MAX);
        let is_cut = gateway.is_cut_from_source() || own_age_ms > SOURCE_STALE_MS;
        let own_version = gateway.table().map_or(0, |t| t.version());
        let peers = gateway.peers.lock();
        let zone = peers.zone_daemons(gateway.settings.node.zone.as_str());
        let better: Vec<SocketAddr> = match is_cut {
            true => peers
                .best_informed()
                .into_iter()
                .filter(|(_, version, age_ms)| *age_ms < SOURCE_STALE_MS || *version > own_version)
                .map(|(address, ..)| address)
                .collect(),
            false => peers
                .newest_config()
                .filter(|(_, version)| *version > own_version)
                .map(|(address, _)| address)
                .into_iter()
                .collect(),
        };
        drop(peers);
        // After a failure the next one is asked.
        let better = better.get(failures % better.len().max(1)).copied();
        match source_role(gateway.settings.node.name.as_str(), &zone) {
            SourceRole::Reads => match better {
                Some(address) if is_cut => Self::InPlaceOfShared(address),
                Some(address) => Self::SharedAnd(address),
                None => Self::Shared,
            },
            SourceRole::Follows(readers) if failures < readers.len() => match better {
                Some(address) if is_cut => Self::BetterInformed(address),
                _ => Self::Daemon(readers[failures]),
            },
            // None of them answers: their silence will be known soon.
            SourceRole::Follows(readers) => Self::SharedAnd(readers[failures % readers.len()]),
        }
    }

    /// Returns whether the daemon reads the shared source itself.
    pub fn reads_shared_source(&self) -> bool {
        matches!(
            self,
            Self::Shared | Self::SharedAnd(_) | Self::InPlaceOfShared(_)
        )
    }

    /// Returns the daemon to ask, and whether it is asked to wait for news.
    pub fn daemon(&self) -> Option<(SocketAddr, bool)> {
        match self {
            Self::Shared => None,
            Self::SharedAnd(address) => Some((*address, false)),
            Self::InPlaceOfShared(address)
            | Self::BetterInformed(address)
            | Self::Daemon(address) => Some((*address, true)),
        }
    }
}
