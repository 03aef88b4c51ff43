use super::QuotaLimit;

/// A client account's quota state as received from a hub.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedQuota {
    /// What was left of it.
    pub level: f64,
    /// What all daemons asked for, in units a second.
    pub demand: f64,
    /// When that was, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
}

/// What a daemon lets in by itself while nobody answers its questions: its part
/// of what was left when it last heard, and of the rate since. Its part is what
/// it was asked for beside what all were.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StandaloneQuota {
    /// What was let in since the others told what is left.
    pub spent: f64,
}

impl StandaloneQuota {
    /// Lets a request in if the part allows it, and notes it.
    pub fn admit(
        &mut self,
        cost: f64,
        own_demand: f64,
        told: ReceivedQuota,
        limit: &QuotaLimit,
        now_ms: u64,
    ) -> bool {
        let all = told.demand.max(own_demand).max(f64::MIN_POSITIVE);
        let part = own_demand / all;
        let age_s = now_ms.saturating_sub(told.at_ms) as f64 / 1_000.0;
        let left = (told.level + limit.rate * age_s).min(limit.burst);
        if self.spent + cost > left * part {
            return false;
        }
        self.spent += cost;
        true
    }
}
