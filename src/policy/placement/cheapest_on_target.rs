use {crate::policy::*, rand::RngCore};

/// A miss of the target by its whole length counts as much as this many times
/// the price: being late is worse than being dear.
const MISS_WEIGHT: f64 = 20.0;

/// A recomputed token's part of the price, beside the time it takes.
const RECOMPUTE_PRICE_SHARE: f64 = 0.002;

/// The cheapest place that is expected to meet the latency target.
#[derive(Clone, Copy, Debug)]
pub struct CheapestOnTarget;

impl CheapestOnTarget {
    /// The name in the table.
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
        lowest(&indexes, rng, |i| {
            let estimate = Estimate::of(needs, &upstreams[i]);
            let price = upstreams[i].price_micros as f64;
            let late = MISS_WEIGHT * price.max(1.0) * estimate.miss(needs);
            let recompute = RECOMPUTE_PRICE_SHARE * price * estimate.expected_recompute;
            estimate.cost_micros + late + recompute
        })
    }
}
