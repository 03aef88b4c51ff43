use {bytes::Bytes, std::collections::HashMap};

/// How many packed changes are kept: those that follow a daemon differ in few revisions
/// at a time.
const MAX_KEPT: usize = 32;

/// News of a directory as they were packed at its newest revision, by the revision since
/// which they tell; the whole directory since none.
#[derive(Debug, Default)]
pub struct PackedUpdates {
    revision: u64,
    packed: HashMap<Option<u64>, Bytes>,
}

impl PackedUpdates {
    /// Returns what was packed of a revision since an earlier one.
    pub fn get(&self, revision: u64, since: Option<u64>) -> Option<Bytes> {
        if revision != self.revision {
            return None;
        }
        self.packed.get(&since).cloned()
    }

    /// Keeps what was packed, unless it is of an older revision.
    pub fn keep(&mut self, revision: u64, since: Option<u64>, packed: Bytes) {
        if revision > self.revision {
            self.revision = revision;
            self.packed.clear();
        }
        if revision == self.revision && self.packed.len() < MAX_KEPT {
            self.packed.insert(since, packed);
        }
    }
}
