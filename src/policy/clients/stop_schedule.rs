/// How long a stopping daemon still accepts all requests, in milliseconds. By then, a
/// load balancer that checks once per second and acts on the second failure has removed
/// the daemon, and clients on kept-alive connections have got a response with
/// `Connection: close`.
const NOTICE_MS: u64 = 2_600;
/// Fraction of the stop time after which the process ends; the rest is left for the
/// exit of the process.
const USABLE_FRACTION: f64 = 0.92;

/// Times of a planned stop, in milliseconds since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// End of the notice period, in which all requests are accepted.
    pub notice_ms: u64,
    /// When the process ends, even if requests are in flight.
    pub end_ms: u64,
}

impl StopSchedule {
    /// Plans a stop that may take `stop_ms` milliseconds.
    pub fn new(stop_ms: u64) -> Self {
        let end_ms = (stop_ms as f64 * USABLE_FRACTION) as u64;
        Self {
            notice_ms: NOTICE_MS.min(end_ms / 2),
            end_ms,
        }
    }

    /// Returns true if a request is accepted that arrives `since_ms` after the start of
    /// the stop and whose client waits for up to `wait_ms`. After the notice period only
    /// requests are accepted that end before the process does.
    pub fn accepts(&self, since_ms: u64, wait_ms: u64) -> bool {
        since_ms < self.notice_ms || since_ms + wait_ms <= self.end_ms
    }
}
