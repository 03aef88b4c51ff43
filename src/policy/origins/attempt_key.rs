use rapidhash::v3::rapidhash_v3;

/// The hash of the id of a client's attempt, by which daemons name it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

impl AttemptKey {
    /// Hashes the id of an attempt.
    pub fn of(id: &[u8]) -> Self {
        Self(rapidhash_v3(id))
    }
}
