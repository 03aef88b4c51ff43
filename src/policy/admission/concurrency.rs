/// The fewest requests at once that a limit allows.
const MIN_LIMIT: f64 = 2.0;
/// The most requests at once that a limit allows.
const MAX_LIMIT: f64 = 4_096.0;
/// What an upstream's slots are worth at the start: a full batch and some waiting.
const SLOTS_FACTOR: f64 = 1.25;
/// How much of a new sample enters the smoothed latency.
const SMOOTHING: f64 = 0.1;
/// A latency this many times the best one means that a queue is building.
const TOLERANCE: f64 = 2.0;
/// What an overload leaves of the limit.
const BACKOFF: f64 = 0.9;
/// How fast the best latency is forgotten, per sample.
const DRIFT: f64 = 1.001;

/// An adaptive limit on own requests in flight at one upstream.
///
/// It grows by one a round while the upstream answers about as fast as it
/// can, and shrinks when answers slow down or it refuses.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    best_ms: f64,
    smooth_ms: f64,
    knows_slots: bool,
}

impl ConcurrencyLimit {
    /// Starts at a limit.
    pub fn new(start: u32) -> Self {
        Self {
            limit: f64::from(start).clamp(MIN_LIMIT, MAX_LIMIT),
            best_ms: 0.0,
            smooth_ms: 0.0,
            knows_slots: false,
        }
    }

    /// Raises the limit to what the upstream says that it serves at once, the
    /// first time that it says so.
    pub fn learn_slots(&mut self, slots: u32) {
        if !self.knows_slots {
            self.knows_slots = true;
            self.limit = self
                .limit
                .max(f64::from(slots) * SLOTS_FACTOR)
                .min(MAX_LIMIT);
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Takes the time to the first token of a request, net of its own prefill,
    /// while `in_flight` were running.
    pub fn sample(&mut self, ms: f64, in_flight: u32) {
        let ms = ms.max(0.1);
        if self.best_ms == 0.0 {
            self.best_ms = ms;
            self.smooth_ms = ms;
        }
        self.best_ms = (self.best_ms * DRIFT).min(ms);
        self.smooth_ms += SMOOTHING * (ms - self.smooth_ms);
        if self.smooth_ms > TOLERANCE * self.best_ms + 10.0 {
            self.shrink();
            return;
        }
        let used = f64::from(in_flight) * 2.0 >= self.limit;
        if used {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Takes a refusal or a timeout.
    pub fn refused(&mut self) {
        self.shrink();
    }

    fn shrink(&mut self) {
        self.limit = (self.limit * BACKOFF).max(MIN_LIMIT);
    }
}
