use {super::FleetPolicy, crate::names::FailureDomain};

/// Reclaimable upstreams are used only below this price, as a share of the on-demand price:
/// above it, the saving doesn't justify the risk of losing them.
pub(super) const WORTHWHILE_PRICE: f64 = 0.7;
/// With a single failure domain: the share of the needed upstreams that is ordered on demand.
const SINGLE_DOMAIN_ON_DEMAND_SHARE: f64 = 0.5;

/// The upstreams of a service in one failure domain, as input to the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainFleet {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Price of an upstream there per second.
    pub price: f64,
    /// On-demand upstreams, which can't be reclaimed.
    pub on_demand: u32,
    /// Reclaimable upstreams that have not been given notice to leave.
    pub reclaimable: u32,
    /// Reclaimable upstreams that are ordered and still starting.
    pub pending: u32,
}

/// Bounds of a service's fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// The minimum number of upstreams in a failure domain, of both classes together.
    pub min_per_domain: u32,
    /// The maximum number of upstreams in a failure domain, of both classes together.
    pub max_per_domain: u32,
    /// The price of a reclaimable upstream as a share of the on-demand price; `None` if there
    /// are no reclaimable ones.
    pub reclaimable_price: Option<f64>,
}

/// The planned numbers of upstreams in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainPlan {
    /// The domain.
    pub domain: FailureDomain,
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Reclaimable upstreams.
    pub reclaimable: u32,
}

/// The number of upstreams that the demand requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetDemand {
    /// For the recent peak of demand: reclaimable upstreams, which are cheap, are ordered for
    /// it.
    pub steady: u32,
    /// For the current demand: on-demand upstreams, which are expensive, are ordered for it.
    pub now: u32,
}

/// Plans a service's fleet.
///
/// Reclaimable upstreams carry the load where they are cheap: enough of them that the demand
/// is still met when those of several failure domains are reclaimed one after the other.
/// On-demand upstreams cover what is missing. After a failure domain has lost its reclaimable
/// upstreams, they also cover a share of what the next loss would take. Running upstreams are
/// kept until their replacements serve requests.
pub fn plan_fleet(
    domains: &[DomainFleet],
    bounds: FleetBounds,
    need: FleetDemand,
    policy: &FleetPolicy,
) -> Vec<DomainPlan> {
    let price = bounds.reclaimable_price.unwrap_or(1.0);
    if price >= WORTHWHILE_PRICE {
        let on_demand = spread(need.steady, domains);
        let plans = domains.iter().zip(on_demand);
        return plans.map(|(d, n)| bounded(d, n, 0, bounds)).collect();
    }
    let reclaimable = spread(
        reclaimable_total(need.steady, domains.len(), price, policy),
        domains,
    );
    let on_demand = spread(on_demand_total(domains, need.now, policy), domains);
    let plans = domains.iter().zip(on_demand.into_iter().zip(reclaimable));
    plans
        .map(|(domain, (on_demand, reclaimable))| bounded(domain, on_demand, reclaimable, bounds))
        .collect()
}

/// Returns the smallest number of upstreams, spread evenly over the failure domains, that
/// still meets the demand without those of some domains. It covers as many lost domains as
/// the policy's limits on losses and cost allow.
fn reclaimable_total(needed: u32, domains: usize, price: f64, policy: &FleetPolicy) -> u32 {
    let domains = domains.max(1) as u32;
    let total_without = |taken: u32| (needed * domains).div_ceil(domains - taken);
    let affordable = |taken: &u32| {
        let cost = f64::from(total_without(*taken)) * price;
        cost <= f64::from(needed) * policy.max_reclaimable_cost
    };
    let most = policy.losses_borne.min(domains - 1);
    let taken = (1..=most).rev().find(affordable);
    taken.map_or(needed, total_without)
}

fn on_demand_total(domains: &[DomainFleet], needed: u32, policy: &FleetPolicy) -> u32 {
    let running: u32 = domains.iter().map(|d| d.reclaimable).sum();
    let pending: u32 = domains.iter().map(|d| d.pending).sum();
    let on_demand: u32 = domains.iter().map(|d| d.on_demand).sum();
    let shortfall = needed.saturating_sub(running + pending);
    let next_loss = domains.iter().map(|d| d.reclaimable + d.pending).max();
    let remaining = (running + pending).saturating_sub(next_loss.unwrap_or(0));
    let at_risk = match domains.len() {
        0 | 1 => f64::from(needed) * SINGLE_DOMAIN_ON_DEMAND_SHARE,
        _ => f64::from(needed.saturating_sub(remaining)) * policy.next_loss_cover,
    };
    let ordered = shortfall.max(at_risk.ceil() as u32);
    // On-demand upstreams are kept until the reclaimable ones that are starting serve
    // requests.
    let kept = needed.saturating_sub(running).min(on_demand);
    ordered.max(kept)
}

/// Spreads a number of upstreams evenly; the remainder goes to the cheapest failure domains.
fn spread(total: u32, domains: &[DomainFleet]) -> Vec<u32> {
    let count = domains.len().max(1) as u32;
    let mut shares = vec![total / count; domains.len()];
    let mut by_price: Vec<usize> = (0..domains.len()).collect();
    by_price.sort_by(|a, b| domains[*a].price.total_cmp(&domains[*b].price));
    for index in by_price.into_iter().take((total % count) as usize) {
        shares[index] += 1;
    }
    shares
}

fn bounded(
    domain: &DomainFleet,
    on_demand: u32,
    reclaimable: u32,
    bounds: FleetBounds,
) -> DomainPlan {
    let on_demand = on_demand.min(bounds.max_per_domain);
    let mut reclaimable = reclaimable.min(bounds.max_per_domain - on_demand);
    let lacking = bounds
        .min_per_domain
        .saturating_sub(on_demand + reclaimable);
    reclaimable += lacking;
    DomainPlan {
        domain: domain.domain.clone(),
        on_demand,
        reclaimable,
    }
}
