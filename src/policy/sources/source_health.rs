/// How long after the last call to a silent source another one begins, in milliseconds: so
/// late at most its return is noticed. A call that began before may hang for as long as it
/// is waited for, whatever the source does meanwhile.
const PROBE_EVERY_MS: u64 = 800;

/// Whether a shared source answers, as seen by all calls of a daemon to it. Times are
/// milliseconds of the daemon's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceHealth {
    silent_since_ms: Option<u64>,
    last_call_ms: u64,
    returns: u64,
}

impl SourceHealth {
    /// Notes that a call begins.
    pub fn record_call(&mut self, now_ms: u64) {
        self.last_call_ms = now_ms;
    }

    /// Notes that a call that began at `began_ms` got no answer.
    pub fn record_failure(&mut self, began_ms: u64) {
        self.silent_since_ms.get_or_insert(began_ms);
    }

    /// Notes that a call was answered; returns for how many milliseconds none had been.
    pub fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        let since_ms = self.silent_since_ms.take()?;
        self.returns += 1;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Returns whether the last call that ended got no answer.
    pub fn is_silent(&self) -> bool {
        self.silent_since_ms.is_some()
    }

    /// Returns how often the source has answered again after a silence.
    pub fn returns(&self) -> u64 {
        self.returns
    }

    /// Returns in how many milliseconds another call is to find out whether the source
    /// answers again; none while it answers.
    pub fn probe_in_ms(&self, now_ms: u64) -> Option<u64> {
        let due_ms = self.last_call_ms + PROBE_EVERY_MS;
        self.is_silent().then(|| due_ms.saturating_sub(now_ms))
    }
}
