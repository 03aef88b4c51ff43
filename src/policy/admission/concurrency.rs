/// Lower bound of the limit, in concurrent requests.
const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the limit, in concurrent requests.
const MAX_LIMIT: f64 = 4_096.0;
/// Initial limit per slot of an upstream: a full batch, and a quarter of it queued.
const SLOTS_FACTOR: f64 = 1.25;
/// Weight of a new sample in the smoothed latency.
const SMOOTHING_FACTOR: f64 = 0.1;
/// A smoothed latency of this many times the best one means that requests queue up
/// at the upstream.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Factor by which the limit shrinks on overload.
const BACKOFF_FACTOR: f64 = 0.9;
/// Factor by which the best latency grows with each sample, so that an outdated best
/// value expires.
const BEST_DRIFT: f64 = 1.001;

/// An adaptive limit on the requests that this box has in flight at one upstream.
///
/// The limit grows by one per round of requests while the latency stays near its best
/// value, and shrinks when the latency rises or the upstream refuses requests.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// Lowest latency, which rises slowly by `BEST_DRIFT`; 0 before the first sample.
    best_ms: f64,
    /// Exponentially smoothed latency.
    smooth_ms: f64,
    /// Set once the upstream has reported its slots.
    knows_slots: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start` concurrent requests.
    pub fn new(start: u32) -> Self {
        Self {
            limit: f64::from(start).clamp(MIN_LIMIT, MAX_LIMIT),
            best_ms: 0.0,
            smooth_ms: 0.0,
            knows_slots: false,
        }
    }

    /// Raises the limit to fit the number of slots that the upstream reports. Only the
    /// first report counts.
    pub fn learn_slots(&mut self, slots: u32) {
        if !self.knows_slots {
            self.knows_slots = true;
            self.limit = self
                .limit
                .max(f64::from(slots) * SLOTS_FACTOR)
                .min(MAX_LIMIT);
        }
    }

    /// Returns the limit, in concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Adds a sample: a request's time to first token without its own prefill, in
    /// milliseconds, and the number of requests in flight at that time.
    pub fn sample(&mut self, ms: f64, in_flight: u32) {
        let ms = ms.max(0.1);
        if self.best_ms == 0.0 {
            self.best_ms = ms;
            self.smooth_ms = ms;
        }
        self.best_ms = (self.best_ms * BEST_DRIFT).min(ms);
        self.smooth_ms += SMOOTHING_FACTOR * (ms - self.smooth_ms);
        if self.smooth_ms > LATENCY_TOLERANCE * self.best_ms + 10.0 {
            self.shrink();
            return;
        }
        // The limit grows only while at least half of it is in use.
        let is_used = f64::from(in_flight) * 2.0 >= self.limit;
        if is_used {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Shrinks the limit after a refusal or a timeout.
    pub fn refused(&mut self) {
        self.shrink();
    }

    fn shrink(&mut self) {
        self.limit = (self.limit * BACKOFF_FACTOR).max(MIN_LIMIT);
    }
}
