use rand::{Rng, RngCore};

/// Maximum number of retries that a budget accumulates.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// A retry budget: each admitted request earns a fraction of a retry, so that retries are
/// bounded by a share of the admitted requests plus the retries saved before.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the fraction `share` of a retry for one admitted request.
    pub fn earn(&mut self, share: f64) {
        self.saved = (self.saved + share).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns `false` if less than one is saved.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Returns the backoff before retry `n` (counted from 0), in milliseconds: full jitter below
/// an exponential bound, so that callers that failed at the same time don't retry at the same
/// time.
pub fn full_jitter_ms(n: u32, base_ms: u64, cap_ms: u64, rng: &mut dyn RngCore) -> u64 {
    let bound = base_ms.saturating_mul(1_u64 << n.min(20)).min(cap_ms);
    rng.random_range(0..=bound)
}
