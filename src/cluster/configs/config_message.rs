use {
    crate::names::SourceEra,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path at which a daemon serves the full configuration to other daemons. The number
/// is the protocol version and increases when the messages change.
pub const CONFIG_PATH: &str = "/cluster/config/1";
/// Path at which a daemon serves the full configuration with the era of the source in which
/// its position counts.
pub const ERA_CONFIG_PATH: &str = "/cluster/config/2";

/// A daemon's query for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigQuery {
    /// The version that the querying daemon has. It wants a later one only.
    pub version: u64,
    /// The address at which the querying daemon listens for other daemons.
    pub address: SocketAddr,
}

/// The answer to a [`ConfigQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigAnswer {
    /// The answering daemon has no later version.
    NoLater,
    /// The answering daemon is sending the configuration to other daemons. The listed
    /// recipients have the version already, or will have it soon.
    Busy {
        /// The version that the answering daemon has.
        version: u64,
        /// The daemons to which it sent this version most recently, oldest first.
        recipients: Vec<SocketAddr>,
    },
    /// The configuration that is in force at the answering daemon.
    Config {
        /// The configuration, packed.
        packed: Bytes,
        /// The position in the shared source from which later configurations are to be
        /// read, if known.
        position: Option<u64>,
    },
}

/// An answer, with the era of the source in which its position counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EraConfigAnswer {
    /// The era of the source; unknown if no position is known.
    pub era: SourceEra,
    /// The answer.
    pub answer: ConfigAnswer,
}
