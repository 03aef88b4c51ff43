/// The decline, as a share of what is ordered, from which on it counts as clear.
const CLEAR_DECLINE: f64 = 1.0 / 3.0;

/// How long fewer upstreams have to be needed before their number is lowered, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LowerDelays {
    /// The delay for a clear decline.
    pub clear_ms: u64,
    /// The delay for a slight decline.
    pub slight_ms: u64,
}

impl LowerDelays {
    /// Creates delays that are the same for any decline.
    pub fn same(delay_ms: u64) -> Self {
        Self {
            clear_ms: delay_ms,
            slight_ms: delay_ms,
        }
    }

    /// Returns the delay for a decline, given as a share of what is ordered.
    pub(super) fn of(self, decline: f64) -> u64 {
        match decline < CLEAR_DECLINE {
            true => self.slight_ms,
            false => self.clear_ms,
        }
    }
}
