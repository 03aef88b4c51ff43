/// Interval of calls to a source that doesn't answer, in milliseconds; its return is detected
/// at most this late. A call that began earlier may hang until its timeout, even if the
/// source is back.
const PROBE_INTERVAL_MS: u64 = 800;

/// Availability of a shared source, as observed by all calls of a daemon to it. Times are
/// milliseconds of the daemon's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceHealth {
    silent_since_ms: Option<u64>,
    last_call_ms: u64,
    recoveries: u64,
}

impl SourceHealth {
    /// Records that a call begins.
    pub fn record_call(&mut self, now_ms: u64) {
        self.last_call_ms = now_ms;
    }

    /// Records that a call that began at `began_ms` got no answer.
    pub fn record_failure(&mut self, began_ms: u64) {
        self.silent_since_ms.get_or_insert(began_ms);
    }

    /// Records that a call was answered. Returns the duration of the outage in milliseconds
    /// if this answer ends one.
    pub fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        let since_ms = self.silent_since_ms.take()?;
        self.recoveries += 1;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Returns true if the last call that ended got no answer.
    pub fn is_silent(&self) -> bool {
        self.silent_since_ms.is_some()
    }

    /// Returns the number of outages after which the source has answered again.
    pub fn recoveries(&self) -> u64 {
        self.recoveries
    }

    /// Returns the time until the next call that probes the source, in milliseconds, or
    /// `None` while the source answers.
    pub fn probe_in_ms(&self, now_ms: u64) -> Option<u64> {
        let due_ms = self.last_call_ms + PROBE_INTERVAL_MS;
        self.is_silent().then(|| due_ms.saturating_sub(now_ms))
    }
}
