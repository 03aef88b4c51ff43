/// The share of an upstream's permits that a daemon may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitShare {
    /// Fraction of all permits, from 0 to 1.
    pub part: f64,
    /// Requests per second that the upstream receives from daemons whose builds know no
    /// limits; subtracted from the limit before `part` applies.
    pub per_s_without_permits: f64,
}

impl PermitShare {
    /// All permits.
    pub const ALL: Self = Self {
        part: 1.0,
        per_s_without_permits: 0.0,
    };

    /// Returns the daemon's share of a rate per second.
    pub fn of(self, per_s: f64) -> f64 {
        (per_s - self.per_s_without_permits).max(0.0) * self.part
    }
}
