use {crate::policy::*, rand::RngCore};

/// Weight of a missed latency target in tokens: a miss by 100% of the target counts as
/// this many computed tokens.
const MISS_TOKENS: f64 = 4_000.0;

/// Weight of the price in tokens per millionth of a currency unit. Small, so that the
/// price only breaks ties.
const TOKENS_PER_MICRO: f64 = 0.01;

/// Chooses the upstream where the fewest tokens have to be recomputed: it prefers
/// upstreams that have the prompt cached, and places long requests where a reclaim is
/// unlikely.
#[derive(Clone, Copy, Debug)]
pub struct KeepWork;

impl KeepWork {
    /// The policy's name in the routing table.
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
        index_of_lowest(&indexes, rng, |i| {
            let estimate = Estimate::of(needs, &upstreams[i]);
            uncached_tokens(needs, &upstreams[i])
                + estimate.expected_recompute
                + MISS_TOKENS * estimate.miss(needs)
                + TOKENS_PER_MICRO * estimate.cost_micros
        })
    }
}
