use {
    super::DirectoryUpdate,
    crate::names::{ServiceName, UpstreamId},
    std::collections::{HashMap, HashSet},
};

/// Which of the known upstreams the daemon that is followed has told of, and which are
/// known from elsewhere: of these, it should have told those that stand before its
/// position in the source, if they were still there.
#[derive(Debug, Default)]
pub(super) struct FollowedView {
    told: HashSet<UpstreamId>,
    known_from_others: HashSet<UpstreamId>,
}

impl FollowedView {
    /// Notes that an upstream is known.
    pub(super) fn note_known(&mut self, id: &UpstreamId) {
        if !self.told.contains(id) {
            self.known_from_others.insert(id.clone());
        }
    }

    /// Notes that an upstream is known no more.
    pub(super) fn note_forgotten(&mut self, id: &UpstreamId) {
        self.known_from_others.remove(id);
    }

    /// Takes in whom news tell of, beside those that are known.
    pub(super) fn take_in(
        &mut self,
        news: &DirectoryUpdate,
        known: &HashMap<UpstreamId, ServiceName>,
    ) {
        if news.is_complete {
            self.told.clear();
            self.known_from_others.extend(known.keys().cloned());
        }
        for id in &news.removed_ids {
            self.told.remove(id);
            if known.contains_key(id) {
                self.known_from_others.insert(id.clone());
            }
        }
        for present in &news.upstreams {
            let id = &present.upstream.id;
            self.known_from_others.remove(id);
            self.told.insert(id.clone());
        }
    }

    /// Returns those that are known, and not by the daemon that is followed.
    pub(super) fn known_from_others(&self) -> impl Iterator<Item = &UpstreamId> {
        self.known_from_others.iter()
    }
}
