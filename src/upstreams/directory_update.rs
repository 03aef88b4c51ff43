use {
    super::{DirectoryCursor, Upstream},
    crate::names::UpstreamId,
    serde::{Deserialize, Serialize},
};

/// An upstream that is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PresentUpstream {
    /// What it says of itself.
    pub upstream: Upstream,
    /// From which offset of the source on it is known to have been there all the time; 0
    /// if it was there when the directory was first read.
    pub since: u64,
}

/// What a daemon tells one that follows it. That an upstream still lives is no news: the
/// follower keeps what it was told until it is told otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// What is told with this.
    pub cursor: DirectoryCursor,
    /// Whether these are all upstreams that there are, or only those that changed.
    pub is_complete: bool,
    /// Upstreams as they are now.
    pub upstreams: Vec<PresentUpstream>,
    /// Upstreams that are gone.
    pub removed_ids: Vec<UpstreamId>,
}
