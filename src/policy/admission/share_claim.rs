/// A claimant of a share: its key, its share, and the work of its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareClaim<K> {
    /// The claimant.
    pub key: K,
    /// The part of all released work that the claimant is assured of, from 0 to 1.
    pub share: f64,
    /// The work of the claimant's next request, in milliseconds.
    pub next_work_ms: f64,
}
