use {
    crate::policy::*,
    rand::{Rng, RngCore},
};

/// The baseline policy: a random allowed upstream, immediate retries without a budget, and
/// no transfer of KV caches.
#[derive(Clone, Copy, Debug)]
pub struct NaivePlacement;

impl NaivePlacement {
    /// The policy's name in the routing table.
    pub const NAME: &'static str = "naive";
}

impl Placement for NaivePlacement {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn choose(
        &self,
        needs: &RequestNeeds,
        upstreams: &[UpstreamView],
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let allowed: Vec<usize> = (0..upstreams.len())
            .filter(|i| needs.allows(&upstreams[*i]))
            .collect();
        if allowed.is_empty() {
            return None;
        }
        Some(allowed[rng.random_range(0..allowed.len())])
    }

    fn retry_style(&self) -> RetryStyle {
        RetryStyle::Immediate
    }

    fn move_style(&self) -> MoveStyle {
        MoveStyle::Recompute
    }
}
