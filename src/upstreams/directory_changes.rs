use {
    super::Upstream,
    crate::names::UpstreamId,
    serde::{Deserialize, Serialize},
};

/// The state of another daemon's directory that a follower knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryCursor {
    /// The revision of the directory that was sent.
    pub revision: u64,
    /// The directory's position in the source at that revision.
    pub position: u64,
}

/// The changes of a directory since the last ones that were sent, for daemons whose builds
/// go by the offsets of the source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryChanges {
    /// The state of the sender's directory that the follower knows after these changes.
    pub cursor: DirectoryCursor,
    /// The listed upstreams are all whose offsets lie between this offset of the source and
    /// the position; 0 if the full directory is listed.
    pub all_since: u64,
    /// The upstreams in their current state.
    pub upstreams: Vec<Upstream>,
    /// The upstreams that were removed.
    pub removed_ids: Vec<UpstreamId>,
}
