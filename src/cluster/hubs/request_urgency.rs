use {
    bincode::{Decode, Encode},
    std::time::Duration,
};

/// The properties by which a hub orders requests while upstreams or the quota of a client account
/// can't take all of them. It is sent with an admission query; daemons
/// of earlier builds send none, and their requests never wait for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RequestUrgency {
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// The time left until the answer is due by the target latency of the route, in milliseconds;
    /// 0 once the answer is late.
    pub target_left_ms: u32,
    /// The time left until the request is given up, in milliseconds.
    pub time_left_ms: u32,
    /// Identifies the request when its client sends it again.
    pub fingerprint: u64,
    /// The priority of its route, which orders the requests within one client account. `priority`
    /// orders the requests of all accounts, and is that of the account if it has one.
    pub route_priority: u8,
}

impl RequestUrgency {
    /// Returns the urgency of the request some time later.
    pub fn after(self, elapsed: Duration) -> Self {
        let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        Self {
            target_left_ms: self.target_left_ms.saturating_sub(elapsed_ms),
            time_left_ms: self.time_left_ms.saturating_sub(elapsed_ms),
            ..self
        }
    }
}
