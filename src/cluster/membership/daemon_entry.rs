use {
    crate::policy::DaemonRank,
    bincode::{Decode, Encode},
    std::net::SocketAddr,
};

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DaemonEntry {
    /// The name of its box.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its share of processor cores.
    pub capacity: f32,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
}

impl DaemonEntry {
    /// Returns its place among the daemons of its failure domain.
    pub fn rank(&self) -> DaemonRank {
        DaemonRank::new(&self.name, self.capacity)
    }
}

/// What a daemon tells of its state.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct DaemonStatus {
    /// The version of the configuration in force there; 0 for none.
    pub config_version: u64,
    /// How long ago its source answered, in milliseconds.
    pub source_age_ms: u64,
    /// Whether it tries to reach the source and can't.
    pub cut_from_source: bool,
    /// Whether it will stop: others are asked in its place.
    pub is_leaving: bool,
    /// Whether it is a hub.
    pub is_hub: bool,
    /// Whether it holds the duties.
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
