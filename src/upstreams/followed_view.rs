use {
    super::DirectoryUpdate,
    crate::names::{ServiceName, UpstreamId},
    std::collections::{HashMap, HashSet},
};

/// Splits the known upstreams into those that the followed daemon has announced and those
/// that are known from others only. Of the latter, the followed daemon would have
/// announced those with an offset before its position in the source if they were still
/// present.
#[derive(Debug, Default)]
pub(super) struct FollowedView {
    announced: HashSet<UpstreamId>,
    known_from_others: HashSet<UpstreamId>,
}

impl FollowedView {
    /// Records that an upstream is known.
    pub(super) fn record_known(&mut self, id: &UpstreamId) {
        if !self.announced.contains(id) {
            self.known_from_others.insert(id.clone());
        }
    }

    /// Records that an upstream is no longer known.
    pub(super) fn record_forgotten(&mut self, id: &UpstreamId) {
        self.known_from_others.remove(id);
    }

    /// Applies an update of the followed daemon; `known` are all known upstreams.
    pub(super) fn apply(
        &mut self,
        update: &DirectoryUpdate,
        known: &HashMap<UpstreamId, ServiceName>,
    ) {
        if update.is_complete {
            self.announced.clear();
            self.known_from_others.extend(known.keys().cloned());
        }
        for id in &update.removed_ids {
            self.announced.remove(id);
            if known.contains_key(id) {
                self.known_from_others.insert(id.clone());
            }
        }
        for present in &update.upstreams {
            let id = &present.upstream.id;
            self.known_from_others.remove(id);
            self.announced.insert(id.clone());
        }
    }

    /// Returns the known upstreams that the followed daemon has not announced.
    pub(super) fn known_from_others(&self) -> impl Iterator<Item = &UpstreamId> {
        self.known_from_others.iter()
    }
}
