use {
    super::Upstream,
    crate::{
        names::{UpstreamId, UpstreamVersion},
        policy::name_hash,
    },
    rapidhash::RapidHashMap,
    std::sync::Arc,
};

/// The upstreams of a service that may get new requests, as of one revision of the
/// directory. The list is computed once per revision and not per request: hashing and
/// looking up each upstream for each request would be most of the cost of a placement.
#[derive(Debug, Default)]
pub struct ReadyUpstreams {
    /// The upstreams, in the order in which they were passed in.
    pub upstreams: Vec<Arc<Upstream>>,
    /// The hashes of their ids, in the same order.
    pub hashes: Vec<u64>,
    /// The software versions of all known upstreams of the service, also of those that leave.
    pub versions: Vec<UpstreamVersion>,
    index: RapidHashMap<UpstreamId, usize>,
}

impl ReadyUpstreams {
    /// Hashes and indexes a list of upstreams.
    pub fn new(upstreams: Vec<Arc<Upstream>>, versions: Vec<UpstreamVersion>) -> Self {
        let ids = upstreams.iter().map(|u| u.id.clone());
        Self {
            hashes: upstreams.iter().map(|u| name_hash(u.id.as_str())).collect(),
            versions,
            index: ids.zip(0..).collect(),
            upstreams,
        }
    }

    /// Returns the index of an upstream in the list.
    pub fn index_of(&self, id: &UpstreamId) -> Option<usize> {
        self.index.get(id).copied()
    }
}
