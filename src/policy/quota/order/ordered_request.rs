/// Share of its remaining time that a client waits before it repeats a refused request.
const WAITED_TIME_SHARE: f64 = 1.0 / 3.0;

/// Share of the time left to the target up to which a request may wait and still be answered in time.
const TARGET_SHARE: f64 = 0.7;
/// The least of this wait, for requests whose target is near or past, in milliseconds.
const LEAST_WAIT_MS: f64 = 500.0;

/// The properties of a request by which it is ordered inside its account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderedRequest {
    /// The priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// The cost in quota units.
    pub cost: f64,
    /// Identifies the request if its client sends it again.
    pub fingerprint: u64,
    /// The time left until the answer is due, in milliseconds.
    pub target_left_ms: u32,
    /// The time left until the client gives up the request, in milliseconds.
    pub time_left_ms: u32,
}

impl OrderedRequest {
    /// Returns the longest wait after which a turn is still given, in milliseconds: the client has to be
    /// expected to come back, and the answer to be in time. Units for late answers would be wasted.
    pub fn longest_wait_ms(&self) -> f64 {
        let in_time_ms = (f64::from(self.target_left_ms) * TARGET_SHARE).max(LEAST_WAIT_MS);
        in_time_ms.min(f64::from(self.time_left_ms) * WAITED_TIME_SHARE)
    }
}
