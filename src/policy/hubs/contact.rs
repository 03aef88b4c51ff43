/// How long an answer is waited for before any was measured, in milliseconds.
const FIRST_TIMEOUT_MS: f64 = 40.0;
/// The least wait, in milliseconds: below it a late timer of either daemon would
/// pass for silence.
const MIN_TIMEOUT_MS: f64 = 15.0;
/// The longest wait, in milliseconds: a daemon whose processor is taken away for
/// the rest of a tenth of a second is not waited for.
const MAX_TIMEOUT_MS: f64 = 80.0;
/// How much a measured time moves the average, and the average deviation
/// (as TCP's retransmission timer does it, RFC 6298).
const TIME_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// How many deviations an answer may be late (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// How long a hub that didn't answer is not asked, at first and at most, in
/// milliseconds.
const FIRST_BACKOFF_MS: u64 = 400;
const MAX_BACKOFF_MS: u64 = 3_200;

/// How one hub answers another daemon. Times are milliseconds of the daemon's
/// steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct HubContact {
    /// Average and average deviation of the time to an answer.
    times: Option<(f64, f64)>,
    backoff_ms: u64,
    avoided_until_ms: u64,
}

impl HubContact {
    /// Notes an answer to a question that was sent once.
    pub fn record_answer(&mut self, after_ms: f64) {
        self.record_contact();
        self.times = Some(match self.times {
            None => (after_ms, after_ms / 2.0),
            Some((time, deviation)) => {
                let off = (after_ms - time).abs();
                (
                    time + TIME_WEIGHT * (after_ms - time),
                    deviation + DEVIATION_WEIGHT * (off - deviation),
                )
            }
        });
    }

    /// Notes that the hub was heard from.
    pub fn record_contact(&mut self) {
        self.backoff_ms = 0;
        self.avoided_until_ms = 0;
    }

    /// Notes that it did not answer in time.
    pub fn record_silent(&mut self, now_ms: u64) {
        if self.is_avoided(now_ms) {
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.avoided_until_ms = now_ms + self.backoff_ms;
    }

    /// Returns whether it is not to be asked now.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    /// Returns how long to wait for an answer, in milliseconds.
    pub fn timeout_ms(&self) -> f64 {
        let expected = self.times.map(|(time, off)| time + DEVIATIONS * off);
        expected
            .unwrap_or(FIRST_TIMEOUT_MS)
            .clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }
}
