use {crate::names::*, std::collections::BTreeMap};

/// The boxes that changed, in the order of their last change.
///
/// Each link reads the journal from its own cursor on, so that each change is sent once per
/// link.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    by_seq: BTreeMap<u64, BoxId>,
    by_box: BTreeMap<BoxId, u64>,
    next: u64,
}

impl Journal {
    /// Records a change of a box. Replaces an earlier change of the same box, which need not be
    /// sent any more.
    pub fn push(&mut self, id: &BoxId) {
        if let Some(old) = self.by_box.insert(id.clone(), self.next) {
            self.by_seq.remove(&old);
        }
        self.by_seq.insert(self.next, id.clone());
        self.next += 1;
    }

    /// Returns up to `max` changed boxes from a cursor on, and the cursor after them.
    pub fn since(&self, cursor: u64, max: usize) -> (Vec<BoxId>, u64) {
        let mut ids = Vec::new();
        for (seq, id) in self.by_seq.range(cursor..) {
            if ids.len() == max {
                return (ids, *seq);
            }
            ids.push(id.clone());
        }
        (ids, self.next)
    }

    /// Removes the change of a box.
    pub fn forget(&mut self, id: &BoxId) {
        if let Some(seq) = self.by_box.remove(id) {
            self.by_seq.remove(&seq);
        }
    }

    /// Returns the cursor after the last change.
    pub fn end(&self) -> u64 {
        self.next
    }
}
