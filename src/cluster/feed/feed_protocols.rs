use {
    crate::cluster::{ERAS_LEVEL, UPDATES_LEVEL},
    std::net::SocketAddr,
};

/// A protocol in which daemons query each other for changes. Later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FeedProtocol {
    /// Changes by the offsets of the source.
    Offsets,
    /// Updates of the directory, without heartbeats.
    Updates,
    /// Updates with the era of the source in which their offsets count.
    Eras,
}

impl FeedProtocol {
    /// Returns the protocol that builds without this one support, if any.
    pub fn earlier(self) -> Option<Self> {
        match self {
            Self::Offsets => None,
            Self::Updates => Some(Self::Offsets),
            Self::Eras => Some(Self::Updates),
        }
    }
}

/// Selects the protocol in which a daemon is queried for changes.
///
/// A daemon whose build is not known yet is queried in the latest protocol first. If it were
/// queried by offsets, it would send its full directory, and send it again once its build is
/// known.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedProtocols {
    /// The daemon that last answered that it does not support a protocol, and that protocol.
    refused: Option<(SocketAddr, FeedProtocol)>,
}

impl FeedProtocols {
    /// Returns the latest protocol that a daemon may support. `level` is the extension level
    /// that the daemon announced, or zero if it has not announced one.
    pub fn latest_for(&self, daemon: SocketAddr, level: u8) -> FeedProtocol {
        match level {
            0 => self.latest_not_refused(daemon),
            level if level >= ERAS_LEVEL => FeedProtocol::Eras,
            level if level >= UPDATES_LEVEL => FeedProtocol::Updates,
            _ => FeedProtocol::Offsets,
        }
    }

    fn latest_not_refused(&self, daemon: SocketAddr) -> FeedProtocol {
        let refused = self.refused.filter(|(refusing, _)| *refusing == daemon);
        let earlier = refused.and_then(|(_, protocol)| protocol.earlier());
        earlier.unwrap_or(FeedProtocol::Eras)
    }

    /// Records that a daemon does not support a protocol.
    pub fn record_refused(&mut self, daemon: SocketAddr, protocol: FeedProtocol) {
        self.refused = Some((daemon, protocol));
    }
}
