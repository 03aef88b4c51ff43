use {bytes::Bytes, std::collections::HashMap};

/// Maximum number of cached updates. The followers of a daemon are at few different
/// revisions at a time.
const MAX_CACHED: usize = 32;

/// Cache of the packed updates of a directory at its newest revision. The key is the
/// revision since which an update holds the changes, or none for the full directory.
#[derive(Debug, Default)]
pub struct PackedUpdates {
    revision: u64,
    packed: HashMap<Option<u64>, Bytes>,
}

impl PackedUpdates {
    /// Returns the cached update from the revision `since` to `revision`.
    pub fn get(&self, revision: u64, since: Option<u64>) -> Option<Bytes> {
        if revision != self.revision {
            return None;
        }
        self.packed.get(&since).cloned()
    }

    /// Caches an update, unless it is of an older revision than the cache or the cache is
    /// full.
    pub fn insert(&mut self, revision: u64, since: Option<u64>, packed: Bytes) {
        if revision > self.revision {
            self.revision = revision;
            self.packed.clear();
        }
        if revision == self.revision && self.packed.len() < MAX_CACHED {
            self.packed.insert(since, packed);
        }
    }
}
