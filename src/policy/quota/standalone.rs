use super::QuotaLimit;

/// A client account's quota state as received from a hub.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedQuota {
    /// Units left in the account's bucket.
    pub level: f64,
    /// Demand at all daemons together, in units per second.
    pub demand: f64,
    /// Time at which this state was current, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
}

/// A client account's quota as a daemon enforces it on its own while no hub answers its
/// queries. The daemon admits its share of the level that it last received, and of the rate
/// since then. Its share is its own demand divided by the demand at all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StandaloneQuota {
    /// Units admitted since the quota state was last received.
    pub spent: f64,
}

impl StandaloneQuota {
    /// Admits a request if the daemon's share allows it, and counts its cost. Returns whether
    /// it is admitted.
    pub fn admit(
        &mut self,
        cost: f64,
        own_demand: f64,
        received: ReceivedQuota,
        limit: &QuotaLimit,
        now_ms: u64,
    ) -> bool {
        let total_demand = received.demand.max(own_demand).max(f64::MIN_POSITIVE);
        let share = own_demand / total_demand;
        let age_s = now_ms.saturating_sub(received.at_ms) as f64 / 1_000.0;
        let left = (received.level + limit.rate * age_s).min(limit.burst);
        if self.spent + cost > left * share {
            return false;
        }
        self.spent += cost;
        true
    }
}
