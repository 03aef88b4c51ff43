use {
    crate::names::UpstreamId,
    std::collections::{BTreeMap, HashMap},
};

/// Upstreams by the revision of the directory that last changed each. The upstreams that
/// changed after a revision are found without a scan of the others.
#[derive(Debug, Default)]
pub(super) struct RevisionIndex {
    revisions: HashMap<UpstreamId, u64>,
    by_revision: BTreeMap<u64, UpstreamId>,
}

impl RevisionIndex {
    /// Records that a revision changed an upstream.
    pub(super) fn record(&mut self, id: &UpstreamId, revision: u64) {
        self.forget(id);
        self.revisions.insert(id.clone(), revision);
        self.by_revision.insert(revision, id.clone());
    }

    /// Removes an upstream.
    pub(super) fn forget(&mut self, id: &UpstreamId) {
        if let Some(revision) = self.revisions.remove(id) {
            self.by_revision.remove(&revision);
        }
    }

    /// Removes the upstream with the oldest revision; returns both.
    pub(super) fn forget_oldest(&mut self) -> Option<(u64, UpstreamId)> {
        let (revision, id) = self.by_revision.pop_first()?;
        self.revisions.remove(&id);
        Some((revision, id))
    }

    /// Returns the upstreams that changed after a revision.
    pub(super) fn since(&self, revision: u64) -> impl Iterator<Item = &UpstreamId> {
        self.by_revision.range(revision + 1..).map(|(_, id)| id)
    }

    /// Returns true if an upstream changed after a revision.
    pub(super) fn is_since(&self, id: &UpstreamId, revision: u64) -> bool {
        let last = self.revisions.get(id);
        last.is_some_and(|last| *last > revision)
    }

    /// Returns true if the index holds an upstream.
    pub(super) fn contains(&self, id: &UpstreamId) -> bool {
        self.revisions.contains_key(id)
    }

    /// Returns the number of upstreams in the index.
    pub(super) fn len(&self) -> usize {
        self.revisions.len()
    }
}
