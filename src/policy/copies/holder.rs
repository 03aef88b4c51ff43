use {
    crate::names::*,
    sha2::{Digest, Sha256},
};

/// An entry box that may hold the copy of a request or read loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCandidate {
    /// The box.
    pub id: BoxId,
    /// The box's failure domain.
    pub failure_domain: FailureDomain,
}

/// Orders the candidates for a request's copy by rendezvous hashing, with boxes of other
/// failure domains before those of the owner's failure domain.
///
/// Every box computes the same order, so a request is located without a search: the
/// holder of its copy is among the first candidates of each failure domain.
pub fn rank_holders(
    request: RequestId,
    owner_domain: &FailureDomain,
    candidates: &[HolderCandidate],
) -> Vec<HolderCandidate> {
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_cached_key(|c| {
        let same = c.failure_domain == *owner_domain;
        (same, score(request, &c.id))
    });
    ranked
}

/// Returns the boxes to query for a request's owner, in rendezvous order: up to `limit`
/// of the failure domain of the first box in this order, then up to `limit` of all
/// other failure domains. The holder of the request's copy is among them.
pub fn rank_locate_targets(
    request: RequestId,
    candidates: &[HolderCandidate],
    limit: usize,
) -> Vec<HolderCandidate> {
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_cached_key(|c| score(request, &c.id));
    let first_domain = ranked.first().map(|c| c.failure_domain.clone());
    let (same, other): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|c| Some(&c.failure_domain) == first_domain.as_ref());
    let same = same.into_iter().take(limit);
    let other = other.into_iter().take(limit);
    same.chain(other).collect()
}

fn score(request: RequestId, id: &BoxId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(request.uuid().as_bytes());
    hash.update(id.as_str());
    hash.finalize().into()
}

/// Returns the box that reads an upstream's load on behalf of its failure domain, by
/// rendezvous hashing; `None` if there are no daemons.
pub fn load_reader(upstream: &BoxId, daemons: &[HolderCandidate]) -> Option<BoxId> {
    let score = |c: &&HolderCandidate| {
        let mut hash = Sha256::new();
        hash.update(upstream.as_str());
        hash.update([0]);
        hash.update(c.id.as_str());
        <[u8; 32]>::from(hash.finalize())
    };
    daemons.iter().min_by_key(score).map(|c| c.id.clone())
}
