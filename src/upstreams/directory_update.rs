use {
    super::{DirectoryCursor, Upstream},
    crate::names::{SourceEra, UpstreamId},
    serde::{Deserialize, Serialize},
    std::collections::HashSet,
};

/// An upstream that is present in a directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PresentUpstream {
    /// The upstream's own record.
    pub upstream: Upstream,
    /// The offset of the source since which the upstream is known to have been present
    /// without a break; 0 if it was present when the directory was first read.
    pub since: u64,
}

/// An update of a directory that a daemon sends to a follower. A heartbeat of an upstream
/// is no change and is not sent: the follower keeps each upstream until an update changes
/// or removes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// The era of the source in which the sender's offsets count; unknown for daemons whose
    /// builds know of none.
    pub era: SourceEra,
    /// The state of the sender's directory that the follower knows after this update.
    pub cursor: DirectoryCursor,
    /// True if the update lists all upstreams, false if only those that changed.
    pub is_complete: bool,
    /// The upstreams in their current state.
    pub upstreams: Vec<PresentUpstream>,
    /// The upstreams that were removed.
    pub removed_ids: Vec<UpstreamId>,
    /// The listed upstreams whose entries are missing from the source, and that are only kept in
    /// case they are written again. The update does not confirm them.
    pub unconfirmed_ids: HashSet<UpstreamId>,
}
