/// For how long calls must have failed before the source counts as away, in
/// milliseconds.
const AWAY_AFTER_MS: u64 = 1_000;
/// For how long nobody must have heard the source for entries to have lapsed meanwhile, in
/// milliseconds: they go after three heartbeats of silence, of a second or more each.
const UNHEARD_MS: u64 = 2_000;
/// How long after its return the source may still lack entries that lapsed
/// while it was away, in milliseconds.
const RETURN_MS: u64 = 2_200;

/// What one daemon knows of its contact with the shared source. Times are
/// milliseconds of its steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceContact {
    last_seen_ms: Option<u64>,
    failing_since_ms: Option<u64>,
    returned_ms: Option<u64>,
}

impl SourceContact {
    /// Notes that the source answered.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.record_contact(now_ms, now_ms);
        self.failing_since_ms = None;
    }

    /// Notes when the source was heard, by this daemon or another. If nobody heard it for
    /// long, entries may have lapsed; if others did all the time, only this daemon was cut
    /// off, and what goes is gone.
    fn record_contact(&mut self, last_seen_ms: u64, now_ms: u64) {
        let before_ms = self.last_seen_ms;
        let was_away = before_ms.is_none_or(|before_ms| last_seen_ms >= before_ms + UNHEARD_MS);
        if was_away && self.is_cut(now_ms) {
            self.returned_ms = Some(last_seen_ms);
        }
        self.last_seen_ms = before_ms.max(Some(last_seen_ms));
    }

    /// Notes that a call to the source, begun at `began_ms`, failed.
    pub fn record_failure(&mut self, began_ms: u64) {
        self.failing_since_ms.get_or_insert(began_ms);
    }

    /// Notes when the source told something to a daemon that this one asks.
    pub fn record_relayed(&mut self, last_seen_ms: u64, now_ms: u64) {
        self.record_contact(last_seen_ms, now_ms);
    }

    /// Notes that the source is no longer called: whether it could be reached
    /// isn't known then.
    pub fn record_not_calling(&mut self) {
        self.failing_since_ms = None;
    }

    /// Returns how old the newest answer is; none before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_seen_ms
            .map(|last_seen_ms| now_ms.saturating_sub(last_seen_ms))
    }

    /// Returns whether calls have been failing for a while.
    pub fn is_cut(&self, now_ms: u64) -> bool {
        self.failing_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + AWAY_AFTER_MS)
    }

    /// Returns until when entries that are missing may only have lapsed while
    /// the source was away.
    pub fn lapsed_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.returned_ms? + RETURN_MS;
        (now_ms < until_ms).then_some(until_ms)
    }
}
