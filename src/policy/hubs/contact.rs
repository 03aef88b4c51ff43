/// Timeout for an answer before any response time was measured, in milliseconds.
const FIRST_TIMEOUT_MS: f64 = 40.0;
/// The shortest timeout, in milliseconds: with a shorter one, a timer that fires late in
/// either daemon would be mistaken for a hub that doesn't answer.
const MIN_TIMEOUT_MS: f64 = 15.0;
/// The longest timeout, in milliseconds: a daemon that gets no processor time for the rest of
/// a 100 ms period is not waited for.
const MAX_TIMEOUT_MS: f64 = 80.0;
/// Weights of a new measurement in the average response time and in its average deviation, as
/// in TCP's retransmission timer (RFC 6298).
const TIME_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of average deviations that are added to the average time (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// The first and the longest backoff, in milliseconds, during which a hub that didn't answer
/// is not queried.
const FIRST_BACKOFF_MS: u64 = 400;
const MAX_BACKOFF_MS: u64 = 3_200;

/// Response times and backoff of one hub, as another daemon sees it. Times are milliseconds
/// of the daemon's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct HubContact {
    /// Average and average deviation of the response time, in milliseconds.
    times: Option<(f64, f64)>,
    backoff_ms: u64,
    avoided_until_ms: u64,
}

impl HubContact {
    /// Records the answer to a query that was sent only once, so that the response time is
    /// unambiguous.
    pub fn record_answer(&mut self, after_ms: f64) {
        self.record_contact();
        self.times = Some(match self.times {
            None => (after_ms, after_ms / 2.0),
            Some((time, deviation)) => {
                let error = (after_ms - time).abs();
                (
                    time + TIME_WEIGHT * (after_ms - time),
                    deviation + DEVIATION_WEIGHT * (error - deviation),
                )
            }
        });
    }

    /// Records that a message of the hub arrived; this ends its backoff.
    pub fn record_contact(&mut self) {
        self.backoff_ms = 0;
        self.avoided_until_ms = 0;
    }

    /// Records that the hub did not answer before the timeout. This starts a backoff that is
    /// twice the one before.
    pub fn record_silent(&mut self, now_ms: u64) {
        if self.is_avoided(now_ms) {
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.avoided_until_ms = now_ms + self.backoff_ms;
    }

    /// Returns true during the hub's backoff, when it is not to be queried.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    /// Returns the timeout for an answer, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        let expected = self
            .times
            .map(|(time, deviation)| time + DEVIATIONS * deviation);
        expected
            .unwrap_or(FIRST_TIMEOUT_MS)
            .clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }
}
