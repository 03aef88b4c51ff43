use bincode::{Decode, Encode};

/// Upstreams whose answers said that they leave, as a daemon announces them. Repeated and reordered
/// parts have no effect, since an incarnation that leaves doesn't come back.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeavingPart {
    /// True if a hub announces them. The receiver, if it is a hub, forwards them only to the daemons
    /// that report to it, and otherwise to hubs as well.
    pub among_hubs: bool,
    /// The ids of the upstreams.
    pub upstreams: Vec<String>,
}
