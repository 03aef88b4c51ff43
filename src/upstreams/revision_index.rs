use {
    crate::names::UpstreamId,
    std::collections::{BTreeMap, HashMap},
};

/// Upstreams by the revision of the directory with which something last happened to each:
/// what happened after a revision is found without a look at all others.
#[derive(Debug, Default)]
pub(super) struct RevisionIndex {
    revisions: HashMap<UpstreamId, u64>,
    by_revision: BTreeMap<u64, UpstreamId>,
}

impl RevisionIndex {
    /// Notes that something happened to an upstream with a revision.
    pub(super) fn record(&mut self, id: &UpstreamId, revision: u64) {
        self.forget(id);
        self.revisions.insert(id.clone(), revision);
        self.by_revision.insert(revision, id.clone());
    }

    /// Forgets an upstream.
    pub(super) fn forget(&mut self, id: &UpstreamId) {
        if let Some(revision) = self.revisions.remove(id) {
            self.by_revision.remove(&revision);
        }
    }

    /// Forgets the upstream to which nothing has happened for the longest time; returns it
    /// and its revision.
    pub(super) fn forget_first(&mut self) -> Option<(u64, UpstreamId)> {
        let (revision, id) = self.by_revision.pop_first()?;
        self.revisions.remove(&id);
        Some((revision, id))
    }

    /// Returns the upstreams to which something happened after a revision.
    pub(super) fn since(&self, revision: u64) -> impl Iterator<Item = &UpstreamId> {
        self.by_revision.range(revision + 1..).map(|(_, id)| id)
    }

    /// Returns whether something happened to an upstream after a revision.
    pub(super) fn is_since(&self, id: &UpstreamId, revision: u64) -> bool {
        let last = self.revisions.get(id);
        last.is_some_and(|last| *last > revision)
    }

    /// Returns whether anything happened to an upstream.
    pub(super) fn contains(&self, id: &UpstreamId) -> bool {
        self.revisions.contains_key(id)
    }

    /// Returns how many upstreams there are.
    pub(super) fn len(&self) -> usize {
        self.revisions.len()
    }
}
