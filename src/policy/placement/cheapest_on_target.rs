use {crate::policy::*, rand::RngCore};

/// Weight of a missed latency target: a miss by 100% of the target costs as much as this
/// many seconds of the box, because a late answer is worse than an expensive one.
const MISS_WEIGHT: f64 = 20.0;

/// Cost of each token that is expected to be recomputed, in seconds of the box. It is added
/// to the cost of the time that the request takes.
const RECOMPUTE_PRICE_SHARE: f64 = 0.002;

/// Chooses the cheapest upstream that is expected to meet the latency targets.
#[derive(Clone, Copy, Debug)]
pub struct CheapestOnTarget;

impl CheapestOnTarget {
    /// The policy's name in the routing table.
    pub const NAME: &'static str = "cheapest-on-target";
}

impl Placement for CheapestOnTarget {
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
            let price = upstreams[i].price_micros as f64;
            let late = MISS_WEIGHT * price.max(1.0) * estimate.miss(needs);
            let recompute = RECOMPUTE_PRICE_SHARE * price * estimate.expected_recompute;
            estimate.cost_micros + late + recompute
        })
    }
}
