/// Over which time work is averaged, in milliseconds.
const WINDOW_MS: f64 = 2_000.0;

/// How much work is offered a second. Times are milliseconds of a steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    per_s: f64,
    at_ms: u64,
}

impl DemandMeter {
    /// Notes work that is offered.
    pub fn record(&mut self, work: f64, now_ms: u64) {
        self.per_s = self.per_s(now_ms) + work * 1_000.0 / WINDOW_MS;
        self.at_ms = now_ms;
    }

    /// Returns the work that is offered a second.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-age_ms / WINDOW_MS).exp()
    }
}

/// The highest demand of late: rises at once, falls slowly.
#[derive(Clone, Copy, Debug)]
pub struct DemandPeak {
    decay_ms: f64,
    peak: f64,
    at_ms: u64,
}

impl DemandPeak {
    /// Starts a peak that falls by e in some milliseconds.
    pub fn new(decay_ms: f64) -> Self {
        Self {
            decay_ms,
            peak: 0.0,
            at_ms: 0,
        }
    }

    /// Notes the demand and returns its peak.
    pub fn record(&mut self, demand: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let decayed = self.peak * (-age_ms / self.decay_ms).exp();
        self.peak = decayed.max(demand);
        self.at_ms = now_ms;
        self.peak
    }
}
