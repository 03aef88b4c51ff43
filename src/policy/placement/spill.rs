use {
    crate::names::*,
    crate::policy::*,
    rand::{Rng, RngCore},
};

/// Another failure domain must look this much better than the target: what is
/// known of it lags, and others may choose it at the same moment.
const MARGIN: f64 = 0.7;
/// The share of its slots that must be free.
const FREE_SHARE: f64 = 0.2;

/// A failure domain's upstreams of one service, as they were last told.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainUpstreams {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Its upstreams.
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

    fn best(&self, needs: &RequestNeeds) -> Option<Estimate> {
        let allowed = self.upstreams.iter().filter(|u| needs.allows(u));
        let estimates = allowed.map(|u| Estimate::of(needs, u));
        estimates.min_by(|a, b| a.first_token_ms.total_cmp(&b.first_token_ms))
    }
}

/// Chooses another failure domain for a request that would miss its target
/// here, if one has room for it; `waiting` requests are before it here.
///
/// Of several, one is drawn by its free slots: all daemons that see the same
/// room would else fill the same domain at once.
pub fn spill(
    needs: &RequestNeeds,
    here: &DomainUpstreams,
    waiting: u32,
    others: &[DomainUpstreams],
    rng: &mut dyn RngCore,
) -> Option<FailureDomain> {
    let own = here.best(needs)?;
    let stay_ms = own.between_tokens_ms * f64::from(needs.expected_tokens);
    let turn_ms = f64::from(waiting) * stay_ms / f64::from(here.slots().max(1));
    if own.first_token_ms + turn_ms <= needs.first_token_ms {
        return None;
    }
    let good: Vec<(&FailureDomain, u32)> = others
        .iter()
        .filter(|d| f64::from(d.free_slots()) >= FREE_SHARE * f64::from(d.slots()))
        .filter(|d| {
            let best = d.best(needs);
            best.is_some_and(|e| e.first_token_ms <= MARGIN * needs.first_token_ms)
        })
        .map(|d| (&d.failure_domain, d.free_slots()))
        .collect();
    draw(&good, rng)
}

fn draw(good: &[(&FailureDomain, u32)], rng: &mut dyn RngCore) -> Option<FailureDomain> {
    let total: u32 = good.iter().map(|(_, free)| *free).sum();
    if total == 0 {
        return None;
    }
    let mut at = rng.random_range(0..total);
    for (domain, free) in good {
        if at < *free {
            return Some((*domain).clone());
        }
        at -= free;
    }
    None
}
