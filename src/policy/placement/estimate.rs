use crate::policy::{RequestNeeds, UpstreamView};

/// The expected latency and cost of a request on an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// The request's share of the box's price, in millionths of a currency unit.
    pub cost_micros: f64,
    /// Expected number of tokens to recompute because the box is reclaimed.
    pub expected_recompute: f64,
}

impl Estimate {
    /// Estimates from the upstream's last report and this daemon's dispatches since then.
    pub fn of(needs: &RequestNeeds, u: &UpstreamView) -> Self {
        let running = (u.running + u.unreported).min(u.slots.max(1));
        let queued = (u.running + u.waiting + u.unreported).saturating_sub(u.slots);
        let batch = f64::from((running + 1).min(u.slots.max(1)));
        let between_tokens_ms = u.step_ms + u.step_ms_per_request * (batch - 1.0);
        let prefill_ms = uncached_tokens(needs, u) / u.prefill_tokens_per_s.max(1.0) * 1_000.0;
        let stay_ms = between_tokens_ms * f64::from(needs.expected_tokens.max(1));
        let queue_ms = queue_wait_ms(queued, u, stay_ms, running);
        let busy_ms = prefill_ms + stay_ms / batch;
        Self {
            first_token_ms: queue_ms + prefill_ms + between_tokens_ms + u.round_trip_ms,
            between_tokens_ms,
            cost_micros: u.price_micros as f64 * busy_ms / 1_000.0,
            expected_recompute: expected_recompute(needs, u, prefill_ms + stay_ms),
        }
    }

    /// Returns whether both latency targets of the request are met.
    pub fn on_target(&self, needs: &RequestNeeds) -> bool {
        self.first_token_ms <= needs.first_token_ms
            && self.between_tokens_ms <= needs.between_tokens_ms
    }

    /// Returns the sum of the shares by which the latency targets are exceeded; 0 if both
    /// are met, 1 if one is missed by 100%.
    pub fn miss(&self, needs: &RequestNeeds) -> f64 {
        let first = self.first_token_ms / needs.first_token_ms.max(1.0);
        let between = self.between_tokens_ms / needs.between_tokens_ms.max(1.0);
        (first.max(1.0) - 1.0) + (between.max(1.0) - 1.0)
    }
}

/// Returns the number of prompt and generated tokens that the upstream has to process
/// before it can generate the next one, since they are not in its cache.
pub fn uncached_tokens(needs: &RequestNeeds, u: &UpstreamView) -> f64 {
    let all = needs.prompt_tokens + needs.generated_tokens;
    f64::from(all.saturating_sub(u.cached_tokens))
}

/// Estimates the time in the queue. A full upstream frees a slot whenever one of its
/// requests ends, on average `slots` times in the time that one request runs.
fn queue_wait_ms(queued: u32, u: &UpstreamView, stay_ms: f64, running: u32) -> f64 {
    if running < u.slots {
        return 0.0;
    }
    f64::from(queued + 1) * stay_ms / f64::from(u.slots.max(1))
}

/// Returns the probability of a reclaim while the request runs, times the number of tokens
/// that a reclaim loses.
fn expected_recompute(needs: &RequestNeeds, u: &UpstreamView, stay_ms: f64) -> f64 {
    let chance = 1.0 - (-u.hazard_per_s * stay_ms / 1_000.0).exp();
    let prompt = f64::from(needs.prompt_tokens + needs.generated_tokens);
    chance * (prompt + f64::from(needs.expected_tokens) / 2.0)
}
