use {
    crate::names::*,
    crate::policy::*,
    rand::{Rng, RngCore},
};

/// The largest estimated time to the first token in another failure domain, as a share of
/// the target. The margin is needed because the known loads of other domains lag, and other
/// daemons may choose the same domain at the same time.
const MAX_TARGET_SHARE: f64 = 0.7;
/// The smallest share of free slots at which another failure domain is chosen.
const MIN_FREE_SHARE: f64 = 0.2;

/// The upstreams of one service in a failure domain, as last announced.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainUpstreams {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The upstreams in that domain.
    pub upstreams: Vec<UpstreamView>,
}

impl DomainUpstreams {
    fn free_slots(&self) -> u32 {
        let free = |u: &UpstreamView| u.slots.saturating_sub(u.running + u.waiting + u.unreported);
        self.upstreams.iter().map(free).sum()
    }

    fn slots(&self) -> u32 {
        self.upstreams.iter().map(|u| u.slots).sum()
    }

    fn best_estimate(&self, needs: &RequestNeeds) -> Option<Estimate> {
        let allowed = self.upstreams.iter().filter(|u| needs.allows(u));
        let estimates = allowed.map(|u| Estimate::of(needs, u));
        estimates.min_by(|a, b| a.first_token_ms.total_cmp(&b.first_token_ms))
    }
}

/// Chooses another failure domain for a request that would miss its first-token target in
/// the domain `here`, if another one has capacity. `waiting` is the number of requests that
/// are queued before it in `here`.
///
/// Of several suitable domains, one is drawn at random, weighted by its free slots.
/// Otherwise all daemons that see the same free capacity would fill the same domain at once.
pub fn spill(
    needs: &RequestNeeds,
    here: &DomainUpstreams,
    waiting: u32,
    others: &[DomainUpstreams],
    rng: &mut dyn RngCore,
) -> Option<FailureDomain> {
    let own = here.best_estimate(needs)?;
    let stay_ms = own.between_tokens_ms * f64::from(needs.expected_tokens);
    let queue_ms = f64::from(waiting) * stay_ms / f64::from(here.slots().max(1));
    if own.first_token_ms + queue_ms <= needs.first_token_ms {
        return None;
    }
    let suitable: Vec<(&FailureDomain, u32)> = others
        .iter()
        .filter(|d| f64::from(d.free_slots()) >= MIN_FREE_SHARE * f64::from(d.slots()))
        .filter(|d| {
            let best_estimate = d.best_estimate(needs);
            best_estimate
                .is_some_and(|e| e.first_token_ms <= MAX_TARGET_SHARE * needs.first_token_ms)
        })
        .map(|d| (&d.failure_domain, d.free_slots()))
        .collect();
    draw_by_free_slots(&suitable, rng)
}

fn draw_by_free_slots(
    suitable: &[(&FailureDomain, u32)],
    rng: &mut dyn RngCore,
) -> Option<FailureDomain> {
    let total: u32 = suitable.iter().map(|(_, free)| *free).sum();
    if total == 0 {
        return None;
    }
    let mut at = rng.random_range(0..total);
    for (domain, free) in suitable {
        if at < *free {
            return Some((*domain).clone());
        }
        at -= free;
    }
    None
}
