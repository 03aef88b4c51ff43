/// For how long a stopping daemon takes all requests, in milliseconds: a balancer
/// that asks once a second and acts on the second failure has taken it out by then,
/// and clients on kept connections have been told with an answer.
const NOTICE_MS: u64 = 2_600;
/// Of the time for a stop, how much is used: what remains is for the process's end.
const USED_PART: f64 = 0.92;

/// The times of a planned stop, in milliseconds since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until when all requests are taken.
    pub notice_ms: u64,
    /// When the process ends, whatever is in flight.
    pub end_ms: u64,
}

impl StopSchedule {
    /// Plans a stop that may take `stop_ms`.
    pub fn new(stop_ms: u64) -> Self {
        let end_ms = (stop_ms as f64 * USED_PART) as u64;
        Self {
            notice_ms: NOTICE_MS.min(end_ms / 2),
            end_ms,
        }
    }

    /// Returns whether a request that comes `since_ms` after the start is taken,
    /// whose client waits for `wait_ms`: once the notice is over, only what can't
    /// outlast the process.
    pub fn accepts(&self, since_ms: u64, wait_ms: u64) -> bool {
        since_ms < self.notice_ms || since_ms + wait_ms <= self.end_ms
    }
}
