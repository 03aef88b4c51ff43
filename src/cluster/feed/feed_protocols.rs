use {crate::cluster::UPDATES_LEVEL, std::net::SocketAddr};

/// Selects the protocol in which a daemon is queried for changes: by updates, or by
/// offsets, which is the only one that earlier builds support.
///
/// A daemon whose build is not known yet is queried for updates first. If it were queried by
/// offsets, it would send its full directory, and send it again once its build is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedProtocols {
    /// The daemon that last answered that it does not support updates.
    refused: Option<SocketAddr>,
}

impl FeedProtocols {
    /// Returns whether to query a daemon for updates. `level` is the extension level that the
    /// daemon announced, or zero if it has not announced one.
    pub fn supports_updates(&self, daemon: SocketAddr, level: u8) -> bool {
        match level {
            0 => self.refused != Some(daemon),
            level => level >= UPDATES_LEVEL,
        }
    }

    /// Records that a daemon does not support updates.
    pub fn record_refused(&mut self, daemon: SocketAddr) {
        self.refused = Some(daemon);
    }
}
