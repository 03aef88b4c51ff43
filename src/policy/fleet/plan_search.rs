use {
    super::{
        DecidingBound, DomainPlan, DomainSupply, FleetBounds, FleetNeed, NeedPlan, WORTHWHILE_PRICE,
    },
    std::cmp::Ordering,
};

/// With a single failure domain: the share of the load that on-demand upstreams alone carry.
const SINGLE_DOMAIN_BASE: f64 = 0.5;
/// The most fleets with different numbers of on-demand upstreams that are compared.
const MAX_COMPARED: u32 = 128;

/// Returns the sum of the capacities without the `losses` largest of them.
pub(super) fn left_after(capacities: &[f64], losses: u32) -> f64 {
    let mut sorted = capacities.to_vec();
    sorted.sort_by(f64::total_cmp);
    let left = sorted.len().saturating_sub(losses as usize);
    sorted[..left].iter().sum()
}

/// Searches the cheapest fleet of one service that meets a need.
pub(super) struct PlanSearch<'a> {
    domains: &'a [DomainSupply],
    bounds: FleetBounds,
    need: FleetNeed,
    /// The price of a reclaimable upstream as a share of the on-demand price; `None` if none
    /// are used.
    reclaimable_price: Option<f64>,
}

impl<'a> PlanSearch<'a> {
    pub(super) fn new(
        domains: &'a [DomainSupply],
        bounds: FleetBounds,
        mut need: FleetNeed,
    ) -> Self {
        let price = bounds.reclaimable_price;
        let reclaimable_price = price.filter(|p| *p < WORTHWHILE_PRICE);
        let base = match (reclaimable_price, domains.len()) {
            (None, _) => need.every_day,
            (_, 1) => need.after_loss * SINGLE_DOMAIN_BASE,
            _ => 0.0,
        };
        need.on_demand_base = need.on_demand_base.max(base);
        Self {
            domains,
            bounds,
            need,
            reclaimable_price,
        }
    }

    /// Returns the price per second of a fleet of on-demand upstreams alone that meets the need of
    /// every day.
    pub(super) fn price_on_demand(&self) -> f64 {
        let prices: f64 = self.domains.iter().map(|d| d.fleet.price).sum();
        self.need.every_day * prices / self.domains.len().max(1) as f64
    }

    /// Returns the on-demand upstreams of the cheapest fleet.
    pub(super) fn cheapest_on_demand(&self, losses: u32) -> Vec<u32> {
        let mut on_demand = vec![0; self.domains.len()];
        let usual = self.reclaimable(&on_demand, losses);
        let least = self.domains.iter().map(|d| d.capacity);
        let least = least.fold(1.0_f64, f64::min);
        let most = self.need.after_loss.max(self.need.on_demand_base) / least;
        let most = most.ceil() as u32;
        let step = most.div_ceil(MAX_COMPARED).max(1);
        let mut best = (on_demand.clone(), self.plan(&on_demand, losses));
        for _ in (0..most).step_by(step as usize) {
            if !(0..step).all(|_| self.add_on_demand(&mut on_demand, &usual)) {
                break;
            }
            let plan = self.plan(&on_demand, losses);
            let before = (self.shortfall(&best.0, &best.1), best.1.price_per_s);
            if (self.shortfall(&on_demand, &plan), plan.price_per_s) < before {
                best = (on_demand.clone(), plan);
            }
        }
        best.0
    }

    /// Adds an on-demand upstream: where one runs already, or else in a failure domain that is cheap
    /// or has few upstreams. Returns false if no failure domain has room.
    fn add_on_demand(&self, on_demand: &mut [u32], usual: &[u32]) -> bool {
        let has_room = |n: &usize| on_demand[*n] < self.max_on_demand(*n);
        let weight = |n: &usize| {
            let supply = &self.domains[*n];
            let is_new = on_demand[*n] >= supply.fleet.on_demand;
            let weight = f64::from(on_demand[*n] + usual[*n] + 1) * supply.fleet.price;
            (is_new, weight)
        };
        let best = (0..on_demand.len())
            .filter(has_room)
            .min_by(|a, b| weight(a).partial_cmp(&weight(b)).unwrap_or(Ordering::Equal));
        let Some(best) = best else {
            return false;
        };
        on_demand[best] += 1;
        true
    }

    /// Returns the most on-demand upstreams that the failure domain with index `n` can have.
    fn max_on_demand(&self, n: usize) -> u32 {
        let supply = &self.domains[n];
        let room = self
            .bounds
            .max_per_domain
            .saturating_sub(supply.fleet.reclaimable);
        match supply.has_on_demand {
            true => room,
            false => room.min(supply.fleet.on_demand),
        }
    }

    /// Returns the fewest reclaimable upstreams, spread evenly, that meet the need beside these
    /// on-demand ones.
    fn reclaimable(&self, on_demand: &[u32], losses: u32) -> Vec<u32> {
        let limits = self.domains.iter().zip(on_demand).map(|(supply, taken)| {
            let room = self.bounds.max_per_domain.saturating_sub(*taken);
            match (self.reclaimable_price, supply.has_reclaimable) {
                (None, _) => 0,
                (_, true) => room,
                (_, false) => room.min(supply.fleet.reclaimable),
            }
        });
        let limits: Vec<u32> = limits.collect();
        let at_level = |level: u32| -> Vec<u32> {
            let counts = self.domains.iter().zip(&limits).map(|(supply, limit)| {
                let count = (f64::from(level) / supply.capacity).ceil() as u32;
                count.min(*limit)
            });
            counts.collect()
        };
        let highest = self.domains.iter().zip(&limits);
        let highest = highest.map(|(s, limit)| (f64::from(*limit) * s.capacity).ceil() as u32);
        let (mut low, mut high) = (0, highest.max().unwrap_or_default());
        while low < high {
            let level = low.midpoint(high);
            match self.is_met(on_demand, &at_level(level), losses) {
                true => high = level,
                false => low = level + 1,
            }
        }
        let mut counts = at_level(low);
        if self.is_met(on_demand, &counts, losses) {
            self.trim(on_demand, &mut counts, losses);
        }
        counts
    }

    /// Takes away one reclaimable upstream from each failure domain where the need is met without
    /// it, the most expensive domains first.
    fn trim(&self, on_demand: &[u32], counts: &mut [u32], losses: u32) {
        let mut dearest: Vec<usize> = (0..counts.len()).collect();
        let price = |n: &usize| self.domains[*n].fleet.price;
        dearest.sort_by(|a, b| price(b).total_cmp(&price(a)));
        for n in dearest {
            counts[n] = counts[n].saturating_sub(1);
            if !self.is_met(on_demand, counts, losses) {
                counts[n] += 1;
            }
        }
    }

    /// Returns whether the capacities of every day and after the losses are met. The on-demand base is
    /// not checked.
    fn is_met(&self, on_demand: &[u32], reclaimable: &[u32], losses: u32) -> bool {
        let total = self.capacity(on_demand) + self.capacity(reclaimable);
        total >= self.need.every_day
            && self.left(on_demand, reclaimable, losses) >= self.need.after_loss
    }

    fn capacity(&self, counts: &[u32]) -> f64 {
        let capacities = self.domains.iter().zip(counts);
        capacities.map(|(d, n)| d.capacity * f64::from(*n)).sum()
    }

    /// Returns the capacity that is left after the losses.
    fn left(&self, on_demand: &[u32], reclaimable: &[u32], losses: u32) -> f64 {
        let capacities = self.domains.iter().zip(reclaimable);
        let capacities: Vec<f64> = capacities
            .map(|(d, n)| d.capacity * f64::from(*n))
            .collect();
        self.capacity(on_demand) + left_after(&capacities, losses)
    }

    /// Returns by how much a plan misses the capacity after the losses and the on-demand base.
    fn shortfall(&self, on_demand: &[u32], plan: &NeedPlan) -> f64 {
        let lacks_base = self.need.on_demand_base - self.capacity(on_demand);
        (self.need.after_loss - plan.left).max(0.0) + lacks_base.max(0.0)
    }

    /// Returns the plan with these on-demand upstreams and the reclaimable ones that it needs.
    pub(super) fn plan(&self, on_demand: &[u32], losses: u32) -> NeedPlan {
        let reclaimable = self.reclaimable(on_demand, losses);
        let left = self.left(on_demand, &reclaimable, losses);
        let planned = self.domains.iter().zip(on_demand.iter().zip(reclaimable));
        let domains: Vec<DomainPlan> = planned
            .map(|(supply, (on_demand, reclaimable))| {
                self.at_least_minimum(supply, *on_demand, reclaimable)
            })
            .collect();
        let share = self.reclaimable_price.unwrap_or(1.0);
        let prices = self.domains.iter().zip(&domains).map(|(supply, plan)| {
            let reclaimable = f64::from(plan.reclaimable) * share;
            (f64::from(plan.on_demand) + reclaimable) * supply.fleet.price
        });
        let price_per_s = prices.sum();
        NeedPlan {
            domains,
            losses,
            left,
            price_per_s,
            bound: self.deciding_bound(on_demand, left),
        }
    }

    /// Returns the bound that decides for a fleet with these on-demand upstreams, of which `left` is
    /// the capacity after the losses. A bound decides if it is met by less than one usual upstream.
    fn deciding_bound(&self, on_demand: &[u32], left: f64) -> DecidingBound {
        if left < self.need.after_loss {
            DecidingBound::NoneLeft
        } else if self.need.on_demand_base > 0.0
            && self.capacity(on_demand) < self.need.on_demand_base + 1.0
        {
            DecidingBound::OnDemandBase
        } else if left < self.need.after_loss + 1.0 {
            DecidingBound::AfterLoss
        } else {
            DecidingBound::EveryDay
        }
    }

    /// Returns the plan for a failure domain, raised to the minimum per domain.
    fn at_least_minimum(
        &self,
        supply: &DomainSupply,
        on_demand: u32,
        reclaimable: u32,
    ) -> DomainPlan {
        let min = self.bounds.min_per_domain;
        let lacking = min.saturating_sub(on_demand + reclaimable);
        let takes_reclaimable = self.reclaimable_price.is_some() && supply.has_reclaimable;
        let (more_on_demand, more_reclaimable) = match takes_reclaimable {
            true => (0, lacking),
            false => (lacking, 0),
        };
        DomainPlan {
            domain: supply.fleet.domain.clone(),
            on_demand: on_demand + more_on_demand,
            reclaimable: reclaimable + more_reclaimable,
        }
    }
}
