use {crate::policy::*, rand::RngCore};

/// Tokens that a miss of the target by its whole length counts as.
const MISS_TOKENS: f64 = 4_000.0;

/// Tokens that a millionth of a currency unit counts as: price only breaks ties.
const TOKENS_PER_MICRO: f64 = 0.01;

/// The place where the fewest tokens are computed again: what is cached stays
/// in use, and long work goes where a reclaim is unlikely.
#[derive(Clone, Copy, Debug)]
pub struct KeepWork;

impl KeepWork {
    /// The name in the table.
    pub const NAME: &'static str = "keep-work";
}

impl Placement for KeepWork {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn choose(
        &self,
        needs: &RequestNeeds,
        upstreams: &[UpstreamView],
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let indexes = candidates(needs, upstreams);
        lowest(&indexes, rng, |i| {
            let estimate = Estimate::of(needs, &upstreams[i]);
            uncached_tokens(needs, &upstreams[i])
                + estimate.expected_recompute
                + MISS_TOKENS * estimate.miss(needs)
                + TOKENS_PER_MICRO * estimate.cost_micros
        })
    }
}
