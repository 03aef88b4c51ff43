/// Time constant of the moving average of a lane's demand, in milliseconds. It is short, since a quota
/// is typically short for some seconds only.
const DEMAND_WINDOW_MS: f64 = 1_000.0;
/// How long a lane without requests gathers units, in milliseconds, for requests of the lane that
/// arrive together.
const CREDIT_MS: f64 = 250.0;

/// The requests of one priority of an account, or its plain calls, and the units that they get.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lane {
    /// Moving average of the demand as of `demand_ms`, in units per second.
    demand: f64,
    demand_ms: u64,
    /// The lane's part of the rate, in units per second.
    rate: f64,
    /// Units that were admitted or promised and are still to be produced. Negative if the lane has
    /// gathered units in advance.
    pub backlog: f64,
    /// Units promised to pending turns.
    pub promised: f64,
    /// See [`Lane::is_covered`].
    is_covered: bool,
}

impl Lane {
    pub fn record_demand(&mut self, cost: f64, now_ms: u64) {
        self.demand = self.demand(now_ms) + cost * 1_000.0 / DEMAND_WINDOW_MS;
        self.demand_ms = now_ms;
    }

    /// Returns the moving average of the demand, in units per second.
    pub fn demand(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.demand_ms) as f64;
        self.demand * (-age_ms / DEMAND_WINDOW_MS).exp()
    }

    /// Produces the units of some time at the lane's rate.
    pub fn produce(&mut self, elapsed_ms: f64) {
        let most_gathered = self.rate * CREDIT_MS / 1_000.0;
        let produced = self.backlog - self.rate * elapsed_ms / 1_000.0;
        self.backlog = produced.max(-most_gathered);
    }

    /// Sets the lane's part of the rate, given its demand.
    pub fn set_rate(&mut self, rate: f64, demand: f64) {
        self.rate = rate;
        self.is_covered = rate >= demand * (1.0 - f64::EPSILON * 8.0);
    }

    /// Returns whether the lane's part of the rate covers its demand, so that all its requests may be
    /// admitted.
    pub fn is_covered(&self) -> bool {
        self.is_covered
    }

    /// Returns whether the lane has gathered some units, and owes none.
    pub fn has_gathered(&self, units: f64) -> bool {
        self.backlog + units <= 0.0
    }

    /// Returns the units that are gathered for turns and for requests to come.
    pub fn gathered(&self) -> f64 {
        (self.promised - self.backlog).max(0.0)
    }

    /// Returns the time until the lane has produced `units` behind its backlog, in milliseconds.
    pub fn wait_ms(&self, units: f64) -> f64 {
        (self.backlog + units).max(0.0) * 1_000.0 / self.rate.max(f64::MIN_POSITIVE)
    }
}
