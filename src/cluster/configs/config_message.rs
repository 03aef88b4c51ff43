use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Where daemons ask each other for the whole configuration; the number rises
/// when the messages change.
pub const CONFIG_PATH: &str = "/cluster/config/1";

/// A daemon's query for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigQuery {
    /// The version that it has; only a later one is wanted.
    pub version: u64,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
}

/// What a daemon answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigAnswer {
    /// It has no later one.
    NoLater,
    /// It tells others first: those named have the version, or will soon.
    Busy {
        /// The version that it has.
        version: u64,
        /// Whom it told last.
        recipients: Vec<SocketAddr>,
    },
    /// The configuration in force there.
    Config {
        /// The configuration, packed.
        packed: Bytes,
        /// The place in the source from which on later ones stand, if known.
        position: Option<u64>,
    },
}
