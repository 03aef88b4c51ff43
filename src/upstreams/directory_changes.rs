use {
    super::Upstream,
    crate::names::UpstreamId,
    serde::{Deserialize, Serialize},
};

/// The position up to which a daemon knows another's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryCursor {
    /// The revision that was told.
    pub revision: u64,
    /// The directory's position then.
    pub position: u64,
}

/// What has changed in a directory since it was told last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryChanges {
    /// What is told with this.
    pub cursor: DirectoryCursor,
    /// From this offset of the source on, up to the position, these are all upstreams
    /// that there are; 0 if it is the whole directory.
    pub all_since: u64,
    /// Upstreams as they are now.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that are gone.
    pub removed_ids: Vec<UpstreamId>,
}
