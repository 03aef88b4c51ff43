use rand::{Rng, RngCore};

/// How many whole retries a budget can save up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// A retry budget: each admitted request earns a share of a retry.
///
/// Source of the idea: retry budgets as in the related paper, section VII.1.
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
    /// Earns `share` of a retry for one admitted request.
    pub fn earn(&mut self, share: f64) {
        self.saved = (self.saved + share).min(MAX_SAVED_RETRIES);
    }

    /// Spends a retry, if one is saved.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Returns a wait before retry `n` (from 0) in milliseconds: full jitter over
/// an exponential bound, so that callers that failed together don't return together.
pub fn full_jitter_ms(n: u32, base_ms: u64, cap_ms: u64, rng: &mut dyn RngCore) -> u64 {
    let bound = base_ms.saturating_mul(1_u64 << n.min(20)).min(cap_ms);
    rng.random_range(0..=bound)
}
