use {
    super::{Upstream, UpstreamDirectory, followed_view::FollowedView},
    crate::names::SourceEra,
    std::sync::Arc,
};

/// The eras of the source in which the offsets of a directory count.
impl UpstreamDirectory {
    /// Returns the era of the source in which offsets and positions count.
    pub fn era(&self) -> SourceEra {
        self.era
    }

    /// Returns true if the source is known to have returned from an older copy.
    pub fn has_been_restored(&self) -> bool {
        self.restored_era.is_some()
    }

    /// Returns the era in which the source is known to have returned from an older copy at the
    /// latest.
    pub fn restored_era(&self) -> Option<SourceEra> {
        self.restored_era
    }

    /// Records that another daemon knows that the source has returned from an older copy, in an
    /// era at the latest. A directory that was read in a named era learns it from its own reads.
    pub fn record_announced_restore(&mut self, era: SourceEra) {
        if self.era.is_unknown() && self.restored_era < Some(era) {
            self.restored_era = Some(era);
            self.has_uncertain_offsets = true;
        }
    }

    /// Prepares for records of an era of the source. Returns false if they are of a former
    /// era, so that their offsets can't be compared with those known here.
    ///
    /// If the source has returned from a copy, known upstreams that no record of the new era
    /// confirms by `lapsed_until_ms` are removed then; their entries may only be missing until
    /// they are written again.
    pub fn enter_era(&mut self, era: SourceEra, lapsed_until_ms: u64) -> bool {
        if era.is_unknown() {
            return !self.has_been_restored();
        }
        if era < self.era {
            return false;
        }
        if era.follows_restore(self.era) || self.has_uncertain_offsets {
            self.begin_era(era, lapsed_until_ms);
        }
        self.era = era;
        true
    }

    fn begin_era(&mut self, era: SourceEra, lapsed_until_ms: u64) {
        self.restored_era = self.restored_era.max(Some(era));
        self.has_uncertain_offsets = false;
        self.revision += 1;
        self.era_revision = self.revision;
        self.position = 0;
        self.exact_before = 0;
        self.since.clear();
        self.removed_ids.begin_era();
        self.followed = FollowedView::default();
        let known: Vec<Arc<Upstream>> = self.all().cloned().collect();
        for upstream in known {
            let id = upstream.id.clone();
            if !upstream.draining {
                self.lapsed.begin_era(&id, lapsed_until_ms);
            }
            self.followed.record_known(&id);
            self.store(Upstream {
                offset: 0,
                ..(*upstream).clone()
            });
        }
    }
}
