use super::{
    DemandPeak, DemandTrend, DomainFleet, DomainKind, DomainOrder, DomainSupply, FleetNeeds,
    FleetPolicy, FleetView, LowerDelays, NeedPlan, OrderBook, PlanReason, ServiceLoad,
    WORTHWHILE_PRICE, on_demand_until_replaced, plan_for_need,
};

/// Time for which demand is observed before a fleet is planned by it, in milliseconds.
const OBSERVE_DEMAND_MS: u64 = 4_000;
/// How much faster than usual a peak of demand decays while demand falls.
const FALLING_DECAY: f64 = 2.0;

/// The upstreams that a service has when its fleet is first planned, before demand is known.
#[derive(Clone, Copy, Debug)]
struct FoundFleet {
    on_demand: u32,
    reclaimable: u32,
    /// True if they serve a demand.
    is_serving: bool,
}

/// Decides when to order how many upstreams of a service, by the capacity that it needs. Covers waves
/// of demand, reclaims in one failure domain after the other, and a start of all daemons before there
/// is any demand.
#[derive(Clone, Debug)]
pub struct NeedPlanner {
    trend: DemandTrend,
    /// The slowly decaying peak of demand, for reclaimable upstreams.
    steady: DemandPeak,
    /// The fast decaying peak of demand, for on-demand upstreams.
    now: DemandPeak,
    load: ServiceLoad,
    /// The time at which demand was first seen.
    demand_since_ms: Option<u64>,
    is_demand_known: bool,
    /// True once a view was settled: see [`FleetView::is_settled`].
    is_fleet_known: bool,
    /// `None` until the fleet is planned for the first time.
    found: Option<FoundFleet>,
    orders: OrderBook,
    reason: Option<PlanReason>,
}

impl NeedPlanner {
    /// Creates a planner that knows nothing yet.
    pub fn new(policy: &FleetPolicy) -> Self {
        Self {
            trend: DemandTrend::default(),
            steady: DemandPeak::new(policy.steady_decay_ms),
            now: DemandPeak::new(policy.now_decay_ms),
            load: ServiceLoad {
                busy: 0.0,
                is_offered: false,
                is_measured: false,
            },
            demand_since_ms: None,
            is_demand_known: false,
            is_fleet_known: false,
            found: None,
            orders: OrderBook::default(),
            reason: None,
        }
    }

    /// Records the current load. Daemons that do not hold the duties do this too, so that they
    /// know the demand when they take the duties over. Times are milliseconds of a monotonic
    /// clock.
    pub fn observe(&mut self, load: ServiceLoad, boot_ms: u64, policy: &FleetPolicy, now_ms: u64) {
        self.load = load;
        if load.is_offered {
            self.demand_since_ms.get_or_insert(now_ms);
        }
        let is_observed = self
            .demand_since_ms
            .is_some_and(|since| now_ms >= since + OBSERVE_DEMAND_MS);
        if !self.is_demand_known {
            // The growth of a demand that has just begun is no trend.
            self.trend = DemandTrend::default();
            self.is_demand_known = is_observed && load.is_measured;
        }
        self.trend.record(load.busy, now_ms);
        if !self.is_demand_known {
            return;
        }
        let expected = self.trend.expected(boot_ms);
        self.steady.set_decay(match self.trend.is_falling() {
            true => policy.steady_decay_ms / FALLING_DECAY,
            false => policy.steady_decay_ms,
        });
        self.steady.record(expected, now_ms);
        self.now.record(expected, now_ms);
    }

    /// Returns the orders that are due now. `max_use` is the share of the capacity that may be used
    /// after a loss.
    pub fn due_orders(
        &mut self,
        view: &FleetView,
        max_use: f64,
        policy: &FleetPolicy,
        now_ms: u64,
    ) -> Vec<DomainOrder> {
        self.is_fleet_known |= view.is_settled;
        // An order sets the number of upstreams: placed while only a part of the fleet is known, it
        // would remove the rest.
        if !self.is_fleet_known {
            return Vec::new();
        }
        let needs = self.needs(view, max_use, policy);
        let supplies = self.supplies(view, now_ms);
        let can_reclaim = self.can_reclaim(view, now_ms);
        let plan = plan_for_need(&supplies, &can_reclaim, view.bounds, needs, policy);
        let kept = on_demand_until_replaced(&supplies, needs.now, policy);
        let on_demand = kept_on_demand(&plan, &supplies, kept);
        let reclaimable = self.reclaimable_within_limits(&plan, &supplies, &on_demand, view);
        self.reason = Some(PlanReason {
            load: self.load.busy,
            slope_per_s: self.trend.slope_per_s(),
            need: needs.steady,
            losses: plan.losses,
            left: plan.left,
            bound: plan.bound,
            planned_on_demand: on_demand.iter().sum(),
            planned_reclaimable: reclaimable.iter().sum(),
        });
        let mut orders = orders_for(&supplies, &on_demand, &reclaimable);
        orders.retain(|order| self.is_due(order, view, policy, now_ms));
        orders
    }

    /// Returns for each failure domain whether reclaimable upstreams may be ordered there now.
    fn can_reclaim(&self, view: &FleetView, now_ms: u64) -> Vec<bool> {
        let can_reclaim = view.domains.iter().map(|fleet| {
            let kind = DomainKind {
                domain: fleet.domain.clone(),
                reclaimable: true,
            };
            self.orders.may_place(&kind, now_ms)
        });
        can_reclaim.collect()
    }

    /// Returns the planned reclaimable upstreams of each failure domain, as far as its limit has room
    /// for them. The limit holds for both kinds together: on-demand upstreams that run take room until
    /// they have left, unless there is no demand.
    fn reclaimable_within_limits(
        &self,
        plan: &NeedPlan,
        supplies: &[DomainSupply],
        on_demand: &[u32],
        view: &FleetView,
    ) -> Vec<u32> {
        let is_idle = !self.load.is_offered;
        let domains = supplies.iter().zip(plan.domains.iter().zip(on_demand));
        let reclaimable = domains.map(|(supply, (planned, on_demand))| {
            let taken = match is_idle {
                true => *on_demand,
                false => supply.fleet.on_demand.max(*on_demand),
            };
            let room = view.bounds.max_per_domain.saturating_sub(taken);
            planned.reclaimable.min(room)
        });
        reclaimable.collect()
    }

    /// Records the outcome of an order: whether it was taken, or none are available.
    pub fn record(&mut self, order: &DomainOrder, taken: bool, boot_ms: u64, now_ms: u64) {
        self.orders.record(order, taken, boot_ms, now_ms);
    }

    /// Returns why the fleet was last planned as it was.
    pub fn reason(&self) -> Option<&PlanReason> {
        self.reason.as_ref()
    }

    fn is_due(
        &mut self,
        order: &DomainOrder,
        view: &FleetView,
        policy: &FleetPolicy,
        now_ms: u64,
    ) -> bool {
        let fleet = view.domains.iter().find(|d| d.domain == order.kind.domain);
        let present = fleet.map_or(0, |d| match order.kind.reclaimable {
            true => d.reclaimable,
            false => d.on_demand,
        });
        // Upstreams that serve a demand that is not known yet may be needed. Reclaimable upstreams
        // that are given back while the platform has none left could not be ordered again.
        let is_serving = self.found.is_some_and(|found| found.is_serving);
        let is_kept = (is_serving && !self.is_demand_known)
            || (order.kind.reclaimable && self.orders.is_short(now_ms));
        let lower_after = self.lower_delays(order.kind.reclaimable, policy);
        let is_due = self.orders.is_due(order, present, lower_after, now_ms);
        is_due && (order.count > present || !is_kept)
    }

    fn lower_delays(&self, reclaimable: bool, policy: &FleetPolicy) -> LowerDelays {
        if !self.load.is_offered {
            // Delays keep upstreams for a demand that may rise again; here there is none.
            return LowerDelays::same(0);
        }
        match reclaimable {
            // They are cheap enough to be kept while demand is low between two peaks.
            true => LowerDelays {
                clear_ms: policy.lower_after_ms,
                slight_ms: policy.steady_decay_ms as u64,
            },
            false => LowerDelays::same(policy.lower_after_ms),
        }
    }

    fn supplies(&mut self, view: &FleetView, now_ms: u64) -> Vec<DomainSupply> {
        let mut supplies = Vec::new();
        for (n, fleet) in view.domains.iter().enumerate() {
            let kind = |reclaimable| DomainKind {
                domain: fleet.domain.clone(),
                reclaimable,
            };
            self.orders.observe(&kind(true), fleet.reclaimable);
            self.orders.observe(&kind(false), fleet.on_demand);
            let on_demand = self
                .orders
                .with_starting(&kind(false), fleet.on_demand, now_ms);
            supplies.push(DomainSupply {
                capacity: view.capacities.get(n).copied().unwrap_or(1.0),
                has_on_demand: self.orders.may_place(&kind(false), now_ms),
                has_reclaimable: !self.orders.is_out(&kind(true), now_ms),
                fleet: DomainFleet {
                    on_demand,
                    ..fleet.clone()
                },
            });
        }
        supplies
    }

    /// Returns the needs for reclaimable and for on-demand upstreams.
    fn needs(&mut self, view: &FleetView, max_use: f64, policy: &FleetPolicy) -> FleetNeeds {
        if !self.is_demand_known {
            let found = *self.found.get_or_insert_with(|| FoundFleet {
                on_demand: view.domains.iter().map(|d| d.on_demand).sum(),
                reclaimable: view.domains.iter().map(|d| d.reclaimable).sum(),
                is_serving: self.load.is_offered,
            });
            // The upstreams that run have been sufficient so far. Where one kind was replacing the
            // other, each kind alone was.
            let vouched = found.on_demand.max(found.reclaimable);
            let guess = f64::from(found.on_demand) * policy.planned_use;
            let need = policy.need(self.load.busy.max(guess), max_use, vouched);
            // Without demand, the load at `max_use` is enough while idle upstreams are replaced.
            let now = match self.load.is_offered {
                true => need,
                false => need.without_headroom(),
            };
            return FleetNeeds { steady: need, now };
        }
        let steady = policy.need(self.steady.peak(), max_use, 0);
        let is_worthwhile = |price| price < WORTHWHILE_PRICE;
        let now = match view.bounds.reclaimable_price.is_some_and(is_worthwhile) {
            true => policy.need(self.now.peak(), max_use, 0).without_headroom(),
            false => steady,
        };
        FleetNeeds { steady, now }
    }
}

/// Returns the planned on-demand upstreams of each failure domain, raised to `kept` in total by
/// upstreams that are present, spread evenly.
fn kept_on_demand(plan: &NeedPlan, supplies: &[DomainSupply], kept: u32) -> Vec<u32> {
    let mut counts: Vec<u32> = plan.domains.iter().map(|d| d.on_demand).collect();
    let missing = kept.saturating_sub(counts.iter().sum());
    for _ in 0..missing {
        let present = |n: &usize| supplies[*n].fleet.on_demand;
        let fewest = (0..counts.len())
            .filter(|n| counts[*n] < present(n))
            .min_by_key(|n| counts[*n]);
        match fewest {
            Some(n) => counts[n] += 1,
            None => break,
        }
    }
    counts
}

/// Returns the orders for these numbers of upstreams in each failure domain, due or not.
fn orders_for(
    supplies: &[DomainSupply],
    on_demand: &[u32],
    reclaimable: &[u32],
) -> Vec<DomainOrder> {
    let counts = on_demand.iter().zip(reclaimable);
    let orders = supplies
        .iter()
        .zip(counts)
        .flat_map(|(supply, (on_demand, reclaimable))| {
            [(false, *on_demand), (true, *reclaimable)].map(|(is_reclaimable, count)| DomainOrder {
                kind: DomainKind {
                    domain: supply.fleet.domain.clone(),
                    reclaimable: is_reclaimable,
                },
                count,
            })
        });
    orders.collect()
}
