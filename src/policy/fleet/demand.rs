/// Time constant of the moving average of work, in milliseconds.
const WINDOW_MS: f64 = 2_000.0;

/// Measures how much work is offered per second, as an exponential moving average. Times are
/// milliseconds of a monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    per_s: f64,
    at_ms: u64,
}

impl DemandMeter {
    /// Records work that is offered.
    pub fn record(&mut self, work: f64, now_ms: u64) {
        self.per_s = self.per_s(now_ms) + work * 1_000.0 / WINDOW_MS;
        self.at_ms = now_ms;
    }

    /// Returns the work that is offered per second.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-age_ms / WINDOW_MS).exp()
    }
}

/// The recent peak of demand: it rises at once and decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct DemandPeak {
    decay_ms: f64,
    peak: f64,
    at_ms: u64,
}

impl DemandPeak {
    /// Creates a peak that decays by a factor of e in `decay_ms` milliseconds.
    pub fn new(decay_ms: f64) -> Self {
        Self {
            decay_ms,
            peak: 0.0,
            at_ms: 0,
        }
    }

    /// Changes how fast the peak decays from now on.
    pub fn set_decay(&mut self, decay_ms: f64) {
        self.decay_ms = decay_ms;
    }

    /// Returns the peak as of the last record.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Records the current demand and returns its peak.
    pub fn record(&mut self, demand: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let decayed = self.peak * (-age_ms / self.decay_ms).exp();
        self.peak = decayed.max(demand);
        self.at_ms = now_ms;
        self.peak
    }
}
