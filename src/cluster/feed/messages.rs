use {
    crate::{
        http::{HttpError, MAX_BODY_BYTES},
        names::UpstreamId,
        rollouts::Rollout,
        routing::{PackError, RoutingConfig, pack, unpack},
        upstreams::{DirectoryChanges, DirectoryCursor, DirectoryUpdate, PresentUpstream},
    },
    bytes::Bytes,
    displaydoc::Display,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Where daemons ask for news; the number rises when the messages change, so that
/// daemons of other builds don't misread them.
pub(super) const UPDATE_PATH: &str = "/cluster/feed/4";
/// Where daemons of builds ask that go by offsets.
pub(super) const NEWS_PATH: &str = "/cluster/feed/3";
/// How long a question for news is held at most, in milliseconds.
pub(super) const MAX_WAIT_MS: u64 = 700;
/// How much memory a message may claim when it is decoded, in bytes: as much as the
/// largest body that is read.
const MAX_DECODED_BYTES: usize = MAX_BODY_BYTES;
/// How long a daemon's question may be.
pub const MAX_QUERY_BYTES: usize = 1_024;

/// A daemon's query for the changes since its cursor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedQuery {
    /// The life of the daemon that told what is known.
    pub incarnation: u64,
    /// What is known of its directory.
    pub cursor: DirectoryCursor,
    /// The version of the configuration that is known of.
    pub config_version: u64,
    /// How long to wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// What a daemon tells another that goes by offsets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Which life of it.
    pub incarnation: u64,
    /// How old the newest answer of its source is, in milliseconds.
    pub source_age_ms: Option<u64>,
    /// The version of the configuration in force there.
    pub config_version: u64,
    /// The configuration, if it is newer than the one that is known of, and
    /// small.
    pub config: Option<RoutingConfig>,
    /// The place in the source from which on later configurations stand, if
    /// known.
    pub config_position: Option<u64>,
    /// What has changed among the upstreams.
    pub changes: DirectoryChanges,
    /// The newest roll-out of each service.
    pub rollouts: Vec<Rollout>,
}

/// How a question for news failed.
#[derive(Debug, Display, thiserror::Error)]
pub enum FeedError {
    /// the call failed: {0}
    Http(#[from] HttpError),
    /// can't be encoded: {0}
    Encode(#[from] bincode::error::EncodeError),
    /// not understood: {0}
    Decode(#[from] bincode::error::DecodeError),
    /// packed in a way that {0}
    Pack(#[from] PackError),
}

/// What a daemon tells another that keeps what it was told: its directory as changes,
/// without words that only say that an upstream lives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// Which life of it.
    pub incarnation: u64,
    /// How old the newest answer of its source is, in milliseconds.
    pub source_age_ms: Option<u64>,
    /// The version of the configuration in force there.
    pub config_version: u64,
    /// The configuration, if it is newer than the one that is known of, and
    /// small.
    pub config: Option<RoutingConfig>,
    /// The place in the source from which on later configurations stand, if
    /// known.
    pub config_position: Option<u64>,
    /// The newest roll-out of each service.
    pub rollouts: Vec<Rollout>,
    /// What is told of its directory.
    pub cursor: DirectoryCursor,
    /// Whether these are all upstreams that there are, or only those that changed.
    pub is_complete: bool,
    /// The upstreams, and the ids of those that are gone, packed: a whole directory is
    /// packed once for all that are told it.
    pub packed: Bytes,
}

/// Packs upstreams, and the ids of those that are gone.
///
/// # Errors
///
/// Returns what can't be encoded.
pub fn pack_upstreams(
    upstreams: &[PresentUpstream],
    removed_ids: &[UpstreamId],
) -> Result<Bytes, PackError> {
    pack(&(upstreams, removed_ids))
}

impl FeedUpdate {
    /// Returns what is told of the directory.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the bytes.
    pub fn directory(&self) -> Result<DirectoryUpdate, PackError> {
        let (upstreams, removed_ids) = unpack(&self.packed)?;
        Ok(DirectoryUpdate {
            cursor: self.cursor,
            is_complete: self.is_complete,
            upstreams,
            removed_ids,
        })
    }
}

/// Encodes what daemons ask and tell each other.
///
/// # Errors
///
/// Returns what can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Bytes, FeedError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())?;
    Ok(bytes.into())
}

/// Decodes what daemons ask and tell each other.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FeedError> {
    // Bytes that claim to be longer than they are would end the process.
    let bounded = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(bytes, bounded)?;
    Ok(message)
}
