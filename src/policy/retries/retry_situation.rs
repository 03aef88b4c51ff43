/// Minimum time left before the deadline for another attempt to be useful, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 30;
/// Maximum number of upstreams tried for a request, including unreachable ones.
const MAX_TRIED: usize = 6;

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetrySituation {
    /// The request may have run on some upstream.
    pub may_have_run: bool,
    /// The request may run more than once, since its route declares it repeatable.
    pub repeatable: bool,
    /// Number of upstreams that the request has reached.
    pub sends: u32,
    /// Maximum of `sends`, set by the route.
    pub max_sends: u32,
    /// Number of upstreams tried, including unreachable ones.
    pub tried: usize,
    /// Time left before the request's deadline, in milliseconds.
    pub time_left_ms: u64,
}

impl RetrySituation {
    /// Returns whether the request may be sent to another upstream.
    pub fn allows_another(&self) -> bool {
        let safe = self.repeatable || !self.may_have_run;
        safe && self.sends < self.max_sends
            && self.tried < MAX_TRIED
            && self.time_left_ms >= MIN_TIME_LEFT_MS
    }
}
