use {crate::names::UpstreamId, std::collections::HashMap};

/// Upstreams whose entries are missing from the source, and that are only kept in case they are written
/// again.
#[derive(Debug, Default)]
pub(super) struct LapsedUpstreams {
    by_id: HashMap<UpstreamId, Lapse>,
}

#[derive(Clone, Copy, Debug)]
struct Lapse {
    /// The time until which the entry may come back, in milliseconds of the daemon's steady clock.
    until_ms: u64,
    /// The latest offset of the source at which the entry is known to be missing; 0 if no read of the
    /// source's era has shown that.
    missing_at: u64,
}

impl LapsedUpstreams {
    /// Records that an upstream's entry is missing at an offset of the source.
    pub(super) fn record_missing(&mut self, id: &UpstreamId, offset: u64, until_ms: u64) {
        let lapse = self.by_id.entry(id.clone()).or_insert(Lapse {
            until_ms,
            missing_at: offset,
        });
        lapse.missing_at = lapse.missing_at.max(offset);
    }

    /// Records that another daemon found the entry missing at an offset, if it is awaited here too.
    pub(super) fn confirm_missing(&mut self, id: &UpstreamId, offset: u64) {
        if let Some(lapse) = self.by_id.get_mut(id) {
            lapse.missing_at = lapse.missing_at.max(offset);
        }
    }

    /// Records that an era of the source began that has not confirmed an upstream so far. Offsets of former
    /// eras don't count in it.
    pub(super) fn begin_era(&mut self, id: &UpstreamId, until_ms: u64) {
        let lapse = self.by_id.entry(id.clone()).or_insert(Lapse {
            until_ms,
            missing_at: 0,
        });
        lapse.missing_at = 0;
    }

    /// Returns whether a record at an offset was written before the entry was found missing, so that it
    /// does not show that the entry is back.
    pub(super) fn is_older(&self, id: &UpstreamId, offset: u64) -> bool {
        let lapse = self.by_id.get(id);
        lapse.is_some_and(|lapse| offset < lapse.missing_at)
    }

    /// Removes an upstream; returns whether its entry was missing.
    pub(super) fn remove(&mut self, id: &UpstreamId) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// Returns whether an upstream's entry is missing.
    pub(super) fn contains(&self, id: &UpstreamId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the upstreams.
    pub(super) fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }

    /// Returns the upstreams whose entries did not come back in time.
    pub(super) fn expired(&self, now_ms: u64) -> Vec<UpstreamId> {
        let all = self.by_id.iter();
        let expired = all.filter(|(_, lapse)| now_ms >= lapse.until_ms);
        expired.map(|(id, _)| id.clone()).collect()
    }
}
