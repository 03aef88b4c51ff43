/// What a daemon may take of the permits that an upstream's limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitShare {
    /// The part of all.
    pub part: f64,
    /// What daemons send there that know of no limits, in requests a second: taken off all.
    pub unaware_per_s: f64,
}

impl PermitShare {
    /// All of them.
    pub const ALL: Self = Self {
        part: 1.0,
        unaware_per_s: 0.0,
    };

    /// Returns the share of a number a second.
    pub fn of(self, per_s: f64) -> f64 {
        (per_s - self.unaware_per_s).max(0.0) * self.part
    }
}
