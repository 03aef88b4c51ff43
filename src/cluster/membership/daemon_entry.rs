use {
    crate::policy::DaemonRank,
    bincode::{Decode, Encode},
    std::net::SocketAddr,
};

/// The identity of a daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DaemonEntry {
    /// The name of the box that it runs on.
    pub name: String,
    /// The failure domain that it belongs to.
    pub domain: String,
    /// The processor cores available to it; may be fractional.
    pub capacity: f32,
    /// The address at which it receives messages of other daemons.
    pub address: SocketAddr,
}

impl DaemonEntry {
    /// Returns the daemon's rank, which orders the daemons of a failure domain.
    pub fn rank(&self) -> DaemonRank {
        DaemonRank::new(&self.name, self.capacity)
    }
}

/// The state that a daemon announces in its digests and reports.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct DaemonStatus {
    /// The version of the configuration in force; 0 for none.
    pub config_version: u64,
    /// The time since its source last answered, in milliseconds.
    pub source_age_ms: u64,
    /// True if the daemon tries to reach the source and fails.
    pub cut_from_source: bool,
    /// True if the daemon is about to stop; other daemons send their queries elsewhere.
    pub is_leaving: bool,
    /// True if the daemon is a hub.
    pub is_hub: bool,
    /// True if the daemon holds the duties.
    pub holds_duties: bool,
}

impl Default for DaemonStatus {
    fn default() -> Self {
        Self {
            config_version: 0,
            source_age_ms: u64::MAX,
            cut_from_source: false,
            is_leaving: false,
            is_hub: false,
            holds_duties: false,
        }
    }
}
