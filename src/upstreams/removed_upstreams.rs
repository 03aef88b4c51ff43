use {super::revision_index::RevisionIndex, crate::names::UpstreamId, std::collections::HashSet};

/// Incarnations of removed upstreams, in the order of their removal.
#[derive(Debug, Default)]
pub(super) struct RemovedUpstreams {
    removals: RevisionIndex,
    /// Those that had announced that they leave: these incarnations never come back.
    had_left: HashSet<UpstreamId>,
    /// Those that were removed in a former era of the source, and of which the present era has
    /// shown no record since.
    of_former_era: HashSet<UpstreamId>,
    /// All removals after this revision are recorded here.
    all_since: u64,
}

impl RemovedUpstreams {
    /// Records that a revision of the directory removed an incarnation.
    pub(super) fn record(&mut self, id: &UpstreamId, was_leaving: bool, revision: u64) {
        self.removals.record(id, revision);
        if was_leaving {
            self.had_left.insert(id.clone());
        }
    }

    /// Begins a new era of the source.
    pub(super) fn begin_era(&mut self) {
        let removed = self.removals.since(0);
        self.of_former_era.extend(removed.cloned());
    }

    /// Returns true if an incarnation was removed in a former era of the source, and the present
    /// era has shown no record of it since.
    pub(super) fn is_of_former_era(&self, id: &UpstreamId) -> bool {
        self.of_former_era.contains(id)
    }

    /// Records that a removed incarnation had announced that it leaves.
    pub(super) fn record_left(&mut self, id: &UpstreamId) {
        if self.removals.contains(id) {
            self.had_left.insert(id.clone());
        }
    }

    /// Removes an incarnation, which is present again.
    pub(super) fn forget(&mut self, id: &UpstreamId) {
        self.removals.forget(id);
        self.had_left.remove(id);
        self.of_former_era.remove(id);
    }

    /// Drops the oldest removals until at most `max` are left; returns the dropped ones.
    pub(super) fn forget_oldest(&mut self, max: usize) -> Vec<UpstreamId> {
        let mut forgotten = Vec::new();
        while self.removals.len() > max
            && let Some((revision, id)) = self.removals.forget_oldest()
        {
            self.had_left.remove(&id);
            self.of_former_era.remove(&id);
            self.all_since = revision;
            forgotten.push(id);
        }
        forgotten
    }

    /// Returns true if an incarnation was removed after it had announced that it leaves.
    pub(super) fn had_left(&self, id: &UpstreamId) -> bool {
        self.had_left.contains(id)
    }

    /// Returns true if all removals after a revision are recorded.
    pub(super) fn has_all_since(&self, revision: u64) -> bool {
        revision >= self.all_since
    }

    /// Returns the incarnations that were removed after a revision.
    pub(super) fn since(&self, revision: u64) -> impl Iterator<Item = &UpstreamId> {
        self.removals.since(revision)
    }
}
