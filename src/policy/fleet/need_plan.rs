use super::{
    DomainPlan, DomainSupply, FleetBounds, FleetNeed, FleetNeeds, FleetPolicy, PlanSearch,
    left_after,
};

/// The requirement that decided the size of a planned fleet: without it, the fleet would be smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecidingBound {
    /// The capacity while nothing is lost.
    EveryDay,
    /// The capacity that a loss leaves.
    AfterLoss,
    /// The capacity that the loss of all reclaimable upstreams leaves.
    OnDemandBase,
    /// The limits of the failure domains, or what the platform has left: the need isn't met.
    NoneLeft,
}

/// A planned fleet, with the capacity that it keeps after the losses that it is planned for.
#[derive(Clone, Debug, PartialEq)]
pub struct NeedPlan {
    /// The planned numbers, in the order of the failure domains given.
    pub domains: Vec<DomainPlan>,
    /// The number of failure domains whose losses are planned for.
    pub losses: u32,
    /// The capacity that is left after these losses, in upstreams of usual speed.
    pub left: f64,
    /// The price of the fleet per second.
    pub price_per_s: f64,
    /// The bound that decided.
    pub bound: DecidingBound,
}

/// Plans the cheapest fleet that meets the needs every day, and after the loss of all reclaimable
/// upstreams in several failure domains one after the other.
///
/// On-demand upstreams are planned only for [`FleetNeeds::now`] and the next losses, where reclaimable
/// ones cost more or are not available. They never replace a reclaimable one that runs. The headroom
/// of [`FleetNeed::every_day`] is ordered on demand only if no reclaimable upstreams are offered.
///
/// Reclaimable upstreams are planned for [`FleetNeeds::steady`] and as many losses as the policy's
/// limits on losses and cost allow, since they may not be available once losses begin. They are
/// spread evenly, so that a loss takes as few as possible. `can_reclaim` says for each failure domain
/// whether reclaimable upstreams may be ordered there now.
pub fn plan_for_need(
    domains: &[DomainSupply],
    can_reclaim: &[bool],
    bounds: FleetBounds,
    needs: FleetNeeds,
    policy: &FleetPolicy,
) -> NeedPlan {
    let next_losses = next_losses(domains, policy);
    let on_demand = PlanSearch::new(domains, bounds, needs.now).cheapest_on_demand(next_losses);
    let mut tried = domains.to_vec();
    for (supply, can_reclaim) in tried.iter_mut().zip(can_reclaim) {
        supply.has_reclaimable = *can_reclaim;
    }
    let search = PlanSearch::new(&tried, bounds, needs.steady);
    let mut losses = losses_to_bear(&tried, policy.losses_borne);
    let mut plan = search.plan(&on_demand, losses);
    let affordable = search.price_on_demand() * policy.max_reclaimable_cost;
    while losses > 1 && plan.price_per_s > affordable {
        losses -= 1;
        plan = search.plan(&on_demand, losses);
    }
    plan
}

/// Returns how many on-demand upstreams have to stay while reclaimable ones start: as many as meet
/// the need together with the reclaimable ones that run already.
pub fn on_demand_until_replaced(
    domains: &[DomainSupply],
    need: FleetNeed,
    policy: &FleetPolicy,
) -> u32 {
    let running = domains
        .iter()
        .map(|d| f64::from(d.fleet.reclaimable) * d.capacity);
    let running: Vec<f64> = running.collect();
    let losses = next_losses(domains, policy);
    let lacking = (need.after_loss - left_after(&running, losses))
        .max(need.every_day - running.iter().sum::<f64>())
        .max(need.on_demand_base);
    lacking.max(0.0).ceil() as u32
}

/// Returns for how many further losses on-demand upstreams are planned: for one while nothing is
/// lost, else for all that the policy still allows: they may come faster than upstreams boot.
fn next_losses(domains: &[DomainSupply], policy: &FleetPolicy) -> u32 {
    let borne = match lost(domains) {
        0 => policy.losses_borne.min(1),
        _ => policy.losses_borne,
    };
    losses_to_bear(domains, borne)
}

/// Returns the number of failure domains that have lost their reclaimable upstreams.
fn lost(domains: &[DomainSupply]) -> u32 {
    let is_lost = |d: &&DomainSupply| !d.has_reclaimable && d.fleet.reclaimable == 0;
    domains.iter().filter(is_lost).count() as u32
}

/// Returns how many further losses a fleet is planned for: `losses_borne` without those that have
/// happened, but at least one.
fn losses_to_bear(domains: &[DomainSupply], losses_borne: u32) -> u32 {
    let most = losses_borne.min((domains.len() as u32).saturating_sub(1));
    if most == 0 {
        return 0;
    }
    let lost = lost(domains);
    most.saturating_sub(lost)
        .max(1)
        .min(domains.len() as u32 - lost)
}
