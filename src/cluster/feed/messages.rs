use {
    crate::{
        http::{HttpError, MAX_BODY_BYTES},
        names::{SourceEra, UpstreamId},
        rollouts::Rollout,
        routing::{PackError, RoutingConfig, pack, unpack},
        upstreams::{DirectoryChanges, DirectoryCursor, DirectoryUpdate, PresentUpstream},
    },
    bytes::Bytes,
    displaydoc::Display,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::collections::HashSet,
};

/// Path at which daemons query each other for updates that name the era of the source. The
/// number is the protocol version and increases when the messages change, so that daemons of
/// other builds don't misread them.
pub(super) const ERA_PATH: &str = "/cluster/feed/5";
/// Path at which daemons of builds that know of no eras query for updates.
pub(super) const UPDATE_PATH: &str = "/cluster/feed/4";
/// Path at which daemons of earlier builds query for changes by offsets.
pub(super) const OFFSETS_PATH: &str = "/cluster/feed/3";
/// Maximum time for which a query is held until there are changes, in milliseconds.
pub(super) const MAX_WAIT_MS: u64 = 700;
/// Maximum memory that a message may allocate when it is decoded, in bytes: the size of the
/// largest body that is read.
const MAX_DECODED_BYTES: usize = MAX_BODY_BYTES;
/// Maximum length of the body of a daemon's query, in bytes.
pub const MAX_QUERY_BYTES: usize = 1_024;

/// A daemon's query for the changes since its cursor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedQuery {
    /// The incarnation of the queried daemon to which `cursor` belongs.
    pub incarnation: u64,
    /// The position up to which the querying daemon knows the directory of the queried one.
    pub cursor: DirectoryCursor,
    /// The newest version of the configuration that the querying daemon knows of.
    pub config_version: u64,
    /// How long to wait for changes before answering, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a query by offsets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedReply {
    /// The incarnation of the answering daemon.
    pub incarnation: u64,
    /// The age of the newest answer that the answering daemon has from the shared source, in
    /// milliseconds; none if it has no answer.
    pub source_age_ms: Option<u64>,
    /// The version of the configuration that is in force at the answering daemon.
    pub config_version: u64,
    /// The configuration, if it is newer than the version in the query, and small.
    pub config: Option<RoutingConfig>,
    /// The position in the shared source from which later configurations are to be read, if
    /// known.
    pub config_position: Option<u64>,
    /// The changes of the directory of upstreams.
    pub changes: DirectoryChanges,
    /// The newest rollout of each service.
    pub rollouts: Vec<Rollout>,
}

/// Error of a query for changes.
#[derive(Debug, Display, thiserror::Error)]
pub enum FeedError {
    /// the call failed: {0}
    Http(#[from] HttpError),
    /// message can't be encoded: {0}
    Encode(#[from] bincode::error::EncodeError),
    /// message can't be decoded: {0}
    Decode(#[from] bincode::error::DecodeError),
    /// packing or unpacking failed: {0}
    Pack(#[from] PackError),
}

/// The answer to a query for updates. Holds the changes of the directory, or all of it if
/// `is_complete`. The follower keeps its state between answers, so that entries that only
/// confirm that an upstream is alive are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// The incarnation of the answering daemon.
    pub incarnation: u64,
    /// The age of the newest answer that the answering daemon has from the shared source, in
    /// milliseconds; none if it has no answer.
    pub source_age_ms: Option<u64>,
    /// The version of the configuration that is in force at the answering daemon.
    pub config_version: u64,
    /// The configuration, if it is newer than the version in the query, and small.
    pub config: Option<RoutingConfig>,
    /// The position in the shared source from which later configurations are to be read, if
    /// known.
    pub config_position: Option<u64>,
    /// The newest rollout of each service.
    pub rollouts: Vec<Rollout>,
    /// The position in the directory up to which this update goes.
    pub cursor: DirectoryCursor,
    /// True if the update holds all upstreams; false if it holds only those that changed.
    pub is_complete: bool,
    /// The upstreams and the ids of removed ones, packed. The full directory is packed once
    /// for all followers that need it.
    pub packed: Bytes,
}

/// Packs upstreams and the ids of removed ones.
///
/// # Errors
///
/// Returns an error if they can't be encoded.
pub fn pack_upstreams(
    upstreams: &[PresentUpstream],
    removed_ids: &[UpstreamId],
) -> Result<Bytes, PackError> {
    pack(&(upstreams, removed_ids))
}

/// An update, with the era of the source in which its positions and offsets count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EraFeedUpdate {
    /// The era of the source in which the offsets of the directory count.
    pub era: SourceEra,
    /// The era of the source in which the position of the configuration counts.
    pub config_era: SourceEra,
    /// The listed upstreams whose entries are missing from the source, and that are only kept in
    /// case they are written again.
    pub unconfirmed_ids: Vec<UpstreamId>,
    /// The update.
    pub update: FeedUpdate,
}

impl EraFeedUpdate {
    /// Unpacks the update of the directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the packed bytes are invalid.
    pub fn directory(&self) -> Result<DirectoryUpdate, PackError> {
        let unconfirmed_ids = self.unconfirmed_ids.iter().cloned().collect();
        Ok(DirectoryUpdate {
            era: self.era,
            unconfirmed_ids,
            ..self.update.directory()?
        })
    }
}

impl FeedUpdate {
    /// Unpacks the update of the directory, without the era of the source.
    ///
    /// # Errors
    ///
    /// Returns an error if the packed bytes are invalid.
    pub fn directory(&self) -> Result<DirectoryUpdate, PackError> {
        let (upstreams, removed_ids) = unpack(&self.packed)?;
        Ok(DirectoryUpdate {
            era: SourceEra::UNKNOWN,
            unconfirmed_ids: HashSet::new(),
            cursor: self.cursor,
            is_complete: self.is_complete,
            upstreams,
            removed_ids,
        })
    }
}

/// Encodes a message between daemons.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Bytes, FeedError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())?;
    Ok(bytes.into())
}

/// Decodes a message between daemons.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FeedError> {
    // Without a limit, bytes that declare a length beyond the available memory would abort
    // the process.
    let bounded = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(bytes, bounded)?;
    Ok(message)
}
