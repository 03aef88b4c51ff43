/// The least time in which it makes sense to send a request again, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 30;
/// How many upstreams are tried at most, unreachable ones included.
const MAX_TRIED: usize = 6;

/// Where a request stands after a try that failed.
#[derive(Clone, Copy, Debug)]
pub struct RetrySituation {
    /// Whether it may have run somewhere.
    pub may_have_run: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How many upstreams it has reached.
    pub sends: u32,
    /// How many it may reach.
    pub max_sends: u32,
    /// How many were tried, unreachable ones included.
    pub tried: usize,
    /// The time that is left, in milliseconds.
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
