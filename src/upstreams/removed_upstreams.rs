use {super::revision_index::RevisionIndex, crate::names::UpstreamId, std::collections::HashSet};

/// Incarnations of removed upstreams, in the order of their removal.
#[derive(Debug, Default)]
pub(super) struct RemovedUpstreams {
    went: RevisionIndex,
    /// Those that had said that they leave: these lives never come back.
    had_left: HashSet<UpstreamId>,
    /// All that went after this revision are here.
    all_since: u64,
}

impl RemovedUpstreams {
    /// Notes that a life went with a revision of the directory.
    pub(super) fn record(&mut self, id: &UpstreamId, was_leaving: bool, revision: u64) {
        self.went.record(id, revision);
        if was_leaving {
            self.had_left.insert(id.clone());
        }
    }

    /// Notes that a life that is gone had said that it leaves.
    pub(super) fn record_left(&mut self, id: &UpstreamId) {
        if self.went.contains(id) {
            self.had_left.insert(id.clone());
        }
    }

    /// Forgets a life: it is back.
    pub(super) fn forget(&mut self, id: &UpstreamId) {
        self.went.forget(id);
        self.had_left.remove(id);
    }

    /// Forgets those that went first until at most `most` are left; returns them.
    pub(super) fn forget_first(&mut self, most: usize) -> Vec<UpstreamId> {
        let mut forgotten = Vec::new();
        while self.went.len() > most
            && let Some((revision, id)) = self.went.forget_first()
        {
            self.had_left.remove(&id);
            self.all_since = revision;
            forgotten.push(id);
        }
        forgotten
    }

    /// Returns whether a life had said that it leaves.
    pub(super) fn had_left(&self, id: &UpstreamId) -> bool {
        self.had_left.contains(id)
    }

    /// Returns whether all are here that went after a revision.
    pub(super) fn has_all_since(&self, revision: u64) -> bool {
        revision >= self.all_since
    }

    /// Returns those that went after a revision.
    pub(super) fn since(&self, revision: u64) -> impl Iterator<Item = &UpstreamId> {
        self.went.since(revision)
    }
}
