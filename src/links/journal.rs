use {crate::names::*, std::collections::BTreeMap};

/// Which boxes changed, in order: each link reads it from its own place on, so
/// that every change is sent once per link.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    by_seq: BTreeMap<u64, BoxId>,
    by_box: BTreeMap<BoxId, u64>,
    next: u64,
}

impl Journal {
    /// Notes a change; an earlier one of the same box need not be sent any more.
    pub fn push(&mut self, id: &BoxId) {
        if let Some(old) = self.by_box.insert(id.clone(), self.next) {
            self.by_seq.remove(&old);
        }
        self.by_seq.insert(self.next, id.clone());
        self.next += 1;
    }

    /// Returns up to `most` changed boxes from a place on, and the place after them.
    pub fn since(&self, place: u64, most: usize) -> (Vec<BoxId>, u64) {
        let mut ids = Vec::new();
        for (seq, id) in self.by_seq.range(place..) {
            if ids.len() == most {
                return (ids, *seq);
            }
            ids.push(id.clone());
        }
        (ids, self.next)
    }

    /// Forgets a box.
    pub fn forget(&mut self, id: &BoxId) {
        if let Some(seq) = self.by_box.remove(id) {
            self.by_seq.remove(&seq);
        }
    }

    /// Returns the place after the last change.
    pub fn end(&self) -> u64 {
        self.next
    }
}
