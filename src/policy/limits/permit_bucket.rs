/// Capacity of the bucket in seconds of permits, but at least one permit: requests arrive
/// unevenly, and permits that are not taken at once should not be lost. Each daemon that
/// becomes the issuer of permits may add a burst of this size.
const BURST_S: f64 = 0.25;

/// Token bucket of permits to send a request to an upstream. Times are milliseconds of the
/// daemon's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitBucket {
    level: f64,
    at_ms: u64,
}

impl PermitBucket {
    /// Creates an empty bucket, because it is not known how much was sent before.
    pub fn new(now_ms: u64) -> Self {
        Self {
            level: 0.0,
            at_ms: now_ms,
        }
    }

    /// Adds the permits that are due at a rate of `per_s` per second.
    pub fn refill(&mut self, per_s: f64, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        let capacity = (per_s * BURST_S).max(1.0);
        self.level = (self.level + per_s * elapsed_s).min(capacity);
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit is due, in milliseconds, if the bucket has
    /// none.
    pub fn take(&mut self, per_s: f64, now_ms: u64) -> Result<(), f64> {
        self.refill(per_s, now_ms);
        if self.level < 1.0 {
            return Err((1.0 - self.level) / per_s * 1_000.0);
        }
        self.level -= 1.0;
        Ok(())
    }
}
