use {
    super::Upstream,
    crate::{names::UpstreamId, policy::name_hash},
    rapidhash::RapidHashMap,
    std::sync::Arc,
};

/// The upstreams of a service that may get new work, as of a revision of the
/// directory. Worked out once a revision, not once a request: hashing and looking up each
/// of them anew would be most of what a choice costs.
#[derive(Debug, Default)]
pub struct ReadyUpstreams {
    /// The upstreams.
    pub upstreams: Vec<Arc<Upstream>>,
    /// The hashes of their names, in the same order.
    pub hashes: Vec<u64>,
    index: RapidHashMap<UpstreamId, usize>,
}

impl ReadyUpstreams {
    /// Makes the list of some upstreams.
    pub fn new(upstreams: Vec<Arc<Upstream>>) -> Self {
        let ids = upstreams.iter().map(|u| u.id.clone());
        Self {
            hashes: upstreams.iter().map(|u| name_hash(u.id.as_str())).collect(),
            index: ids.zip(0..).collect(),
            upstreams,
        }
    }

    /// Returns the place of an upstream in the list.
    pub fn index_of(&self, id: &UpstreamId) -> Option<usize> {
        self.index.get(id).copied()
    }
}
