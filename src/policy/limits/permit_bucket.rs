/// How many seconds' worth of permits are kept while nobody asks for them, one at least:
/// requests come unevenly, and what is not asked for at once shall not be lost. Each daemon
/// that comes to issue permits in a span may have kept as much.
const KEPT_S: f64 = 0.25;

/// Permits to send a request to an upstream: they come at an even pace, and some are kept.
/// Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitBucket {
    level: f64,
    at_ms: u64,
}

impl PermitBucket {
    /// Makes an empty bucket: what was sent before is not known.
    pub fn new(now_ms: u64) -> Self {
        Self {
            level: 0.0,
            at_ms: now_ms,
        }
    }

    /// Lets permits come that are due at a pace.
    pub fn refill(&mut self, per_s: f64, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        let most = (per_s * KEPT_S).max(1.0);
        self.level = (self.level + per_s * passed_s).min(most);
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns in how many milliseconds the next one is there.
    pub fn take(&mut self, per_s: f64, now_ms: u64) -> Result<(), f64> {
        self.refill(per_s, now_ms);
        if self.level < 1.0 {
            return Err((1.0 - self.level) / per_s * 1_000.0);
        }
        self.level -= 1.0;
        Ok(())
    }
}
