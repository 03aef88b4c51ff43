use {super::FleetPolicy, crate::names::FailureDomain};

/// Reclaimable upstreams are worth their risk below this price.
const WORTHWHILE_PRICE: f64 = 0.7;
/// Where one domain has all upstreams, how many of those needed can't be taken away.
const LONE_DOMAIN_PART: f64 = 0.5;

/// A domain as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainFleet {
    /// The domain.
    pub domain: FailureDomain,
    /// What a second of an upstream costs there.
    pub price: f64,
    /// Upstreams there that can't be taken away.
    pub on_demand: u32,
    /// Upstreams there that can be taken away and have not been told to leave.
    pub reclaimable: u32,
    /// Reclaimable ones that are ordered and start by now.
    pub coming: u32,
}

/// Bounds of a service's fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// The least upstreams of a domain, of both kinds together.
    pub min_per_domain: u32,
    /// The most upstreams of a domain, of both kinds together.
    pub max_per_domain: u32,
    /// The price of a reclaimable upstream as a share of the other kind's.
    pub reclaimable_price: Option<f64>,
}

/// How many upstreams a domain shall have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainPlan {
    /// The domain.
    pub domain: FailureDomain,
    /// Those that can't be taken away.
    pub on_demand: u32,
    /// Those that can.
    pub reclaimable: u32,
}

/// The number of upstreams that the demand needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetDemand {
    /// By the highest demand of late: what cheap upstreams are ordered for.
    pub steady: u32,
    /// By the demand of now: what dear upstreams are ordered for.
    pub now: u32,
}

/// Plans a service's fleet.
///
/// Reclaimable upstreams carry the load where they are cheap: so many that
/// enough are left when those of some domains are taken away, one after the
/// other. On-demand ones step in for what is missing and, once a domain's are
/// gone, for a part of what the next loss would take. What is there goes on
/// until what replaces it serves.
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
        return plans.map(|(z, n)| bounded(z, n, 0, bounds)).collect();
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

/// The fewest, spread evenly, of which enough are left without some domains'.
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
    let there: u32 = domains.iter().map(|z| z.reclaimable).sum();
    let coming: u32 = domains.iter().map(|z| z.coming).sum();
    let on_demand: u32 = domains.iter().map(|z| z.on_demand).sum();
    let missing = needed.saturating_sub(there + coming);
    let next_loss = domains.iter().map(|z| z.reclaimable + z.coming).max();
    let left = (there + coming).saturating_sub(next_loss.unwrap_or(0));
    let at_risk = match domains.len() {
        0 | 1 => f64::from(needed) * LONE_DOMAIN_PART,
        _ => f64::from(needed.saturating_sub(left)) * policy.next_loss_cover,
    };
    let ordered = missing.max(at_risk.ceil() as u32);
    // What is there goes on until those that start by now serve.
    let held = needed.saturating_sub(there).min(on_demand);
    ordered.max(held)
}

/// Spreads a number evenly; what is left over goes to the cheapest domains.
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
