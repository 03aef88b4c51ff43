use {crate::cluster::UPDATES_LEVEL, std::net::SocketAddr};

/// In which of two forms daemons are asked for news: by updates, or by offsets, which
/// earlier builds know alone.
///
/// One that has not told its build yet is asked for updates first: by offsets it would
/// tell its whole directory, and then once more when its build is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedProtocols {
    /// The daemon that said last that it tells no updates.
    refused: Option<SocketAddr>,
}

impl FeedProtocols {
    /// Returns whether a daemon is asked for updates. `level` is up to which kind of
    /// extension it knows all, zero if it has not told that.
    pub fn supports_updates(&self, daemon: SocketAddr, level: u8) -> bool {
        match level {
            0 => self.refused != Some(daemon),
            level => level >= UPDATES_LEVEL,
        }
    }

    /// Notes that a daemon does not tell updates.
    pub fn record_refused(&mut self, daemon: SocketAddr) {
        self.refused = Some(daemon);
    }
}
