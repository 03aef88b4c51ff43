/// How long calls must have failed until the source counts as unavailable, in milliseconds.
const UNAVAILABLE_AFTER_MS: u64 = 1_000;
/// How long no daemon must have had an answer from the source so that entries may have lapsed
/// in the meantime, in milliseconds. Entries lapse after three missed heartbeats, whose
/// interval is a second or more.
const MIN_LAPSE_OUTAGE_MS: u64 = 2_000;
/// How long after its return the source may still lack entries that lapsed during the outage,
/// in milliseconds.
const LAPSE_GRACE_MS: u64 = 2_200;
/// How long after the source was restored from an older copy it may still lack lost entries, in
/// milliseconds. Writers write these again at once. The time is shorter than that for which an upstream
/// still serves after its entry was removed.
const REWRITE_GRACE_MS: u64 = 1_200;

/// One daemon's contact with the shared source, from which it distinguishes lapsed entries from
/// removed ones. Times are milliseconds of its monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceContact {
    last_seen_ms: Option<u64>,
    failing_since_ms: Option<u64>,
    /// The time until which missing entries may only have lapsed.
    lapsed_until_ms: Option<u64>,
}

impl SourceContact {
    /// Records that the source answered this daemon.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.record_contact(now_ms, now_ms);
        self.failing_since_ms = None;
    }

    /// Records when the source last answered this daemon or another one.
    ///
    /// If it answered nobody for long, entries may have lapsed. If it answered others all the
    /// time, only this daemon was cut off, and entries that are missing were removed.
    fn record_contact(&mut self, last_seen_ms: u64, now_ms: u64) {
        let before_ms = self.last_seen_ms;
        let was_unavailable =
            before_ms.is_none_or(|before_ms| last_seen_ms >= before_ms + MIN_LAPSE_OUTAGE_MS);
        if was_unavailable && self.is_unavailable(now_ms) {
            self.lapsed_until_ms = Some(last_seen_ms + LAPSE_GRACE_MS);
        }
        self.last_seen_ms = before_ms.max(Some(last_seen_ms));
    }

    /// Records that the source has returned from an older copy: entries that are missing may not
    /// have been written again yet.
    pub fn record_restore(&mut self, now_ms: u64) {
        let until_ms = Some(now_ms + REWRITE_GRACE_MS);
        self.lapsed_until_ms = self.lapsed_until_ms.max(until_ms);
    }

    /// Records that a call to the source, begun at `began_ms`, failed.
    pub fn record_failure(&mut self, began_ms: u64) {
        self.failing_since_ms.get_or_insert(began_ms);
    }

    /// Records when the source last answered a daemon that this one queries.
    pub fn record_relayed(&mut self, last_seen_ms: u64, now_ms: u64) {
        self.record_contact(last_seen_ms, now_ms);
    }

    /// Records that this daemon no longer calls the source, so that it doesn't know any more
    /// if the source is reachable.
    pub fn record_not_calling(&mut self) {
        self.failing_since_ms = None;
    }

    /// Returns the age of the latest answer in milliseconds, or `None` before the first one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_seen_ms
            .map(|last_seen_ms| now_ms.saturating_sub(last_seen_ms))
    }

    /// Returns true if calls have failed for long enough that the source counts as
    /// unavailable.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        self.failing_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + UNAVAILABLE_AFTER_MS)
    }

    /// Returns the time until which missing entries may only have lapsed during an outage, or
    /// `None` if missing entries were removed.
    pub fn lapsed_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.lapsed_until_ms.filter(|until_ms| now_ms < *until_ms)
    }
}
