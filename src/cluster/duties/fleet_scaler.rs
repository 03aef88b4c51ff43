use {
    crate::{
        cluster::{FleetOrder, OrderOutcome},
        gateway::{FLEET_NEEDED, FLEET_PLANNED, FLEET_RUNNING, Gateway},
        names::{FailureDomain, ServiceName},
        policy::{
            DemandPeak, DomainFleet, DomainKind, DomainOrder, FleetBounds, FleetDemand,
            FleetPolicy, FleetView, KnownFleet, NeedPlanner, PlanReason, PrefillSpeed, ServiceLoad,
            mean_capacities, plan_fleet,
        },
        routing::{Autoscaling, Service},
    },
    std::collections::{BTreeSet, HashMap},
};

/// Time after which an order without effect is placed again, in addition to the boot time
/// of the upstreams, in milliseconds.
const REORDER_AFTER_MS: u64 = 2_000;
/// Time after which an order is placed again where no upstreams were available, in
/// milliseconds.
const NONE_LEFT_RETRY_MS: u64 = 2_000;
/// Time for which demand is observed before a fleet is scaled down, in milliseconds.
const OBSERVE_DEMAND_MS: u64 = 4_000;
/// Factor by which a fleet that is found before demand is known is assumed to exceed the
/// upstreams that are needed.
const FOUND_RESERVE: u32 = 2;

/// The most recent order for one kind of upstream in a failure domain.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    /// The time from which on the order may be placed again.
    next_ms: u64,
    /// False if no upstreams were available.
    taken: bool,
}

/// The peaks of a service's demand: `steady` decays slowly, `now` fast.
#[derive(Clone, Copy, Debug)]
struct ServicePeaks {
    steady: DemandPeak,
    now: DemandPeak,
}

impl ServicePeaks {
    fn new(policy: &FleetPolicy) -> Self {
        Self {
            steady: DemandPeak::new(policy.steady_decay_ms),
            now: DemandPeak::new(policy.now_decay_ms),
        }
    }
}

/// Decides which orders for upstreams to place. The keys of `placed` and `lower_since` are
/// the service, the failure domain and whether the upstreams are reclaimable.
#[derive(Debug, Default)]
pub struct FleetScaler {
    peaks: HashMap<ServiceName, ServicePeaks>,
    placed: HashMap<(ServiceName, FailureDomain, bool), PlacedOrder>,
    /// The time from which on fewer upstreams have been needed than there are.
    lower_since: HashMap<(ServiceName, FailureDomain, bool), u64>,
    /// The time at which demand was first seen.
    demand_since_ms: Option<u64>,
    known: HashMap<ServiceName, KnownFleet>,
    /// The number of on-demand upstreams that a service had before its demand was known.
    found: HashMap<ServiceName, u32>,
    /// Planners by need, if the policy sets `max_use`.
    planners: HashMap<ServiceName, NeedPlanner>,
}

impl FleetScaler {
    /// Records how many upstreams of each service are known, and their load if fleets are
    /// planned by need. Daemons that do not hold the duties do this too, so that they know the
    /// fleet when they take the duties over.
    pub fn observe_fleet(&mut self, gateway: &Gateway) {
        let Some(table) = gateway.table() else {
            return;
        };
        let now_ms = gateway.steady_ms();
        for service in &table.config().services {
            let Some(scaling) = &service.autoscaling else {
                continue;
            };
            let present = gateway.directory.read().ready(&service.name).count() as u32;
            let known = self.known.entry(service.name.clone());
            let known = known.or_insert_with(|| KnownFleet::new(now_ms));
            known.record(present, now_ms);
            self.observe_load(gateway, service, scaling);
        }
    }

    /// Records a service's load, if fleets are planned by need.
    fn observe_load(&mut self, gateway: &Gateway, service: &Service, scaling: &Autoscaling) {
        let policy = &gateway.settings.fleet;
        if policy.max_use.is_none() {
            return;
        }
        let demand = gateway.demand_of(&service.name);
        let speed = gateway.prefill_speed(&service.name);
        let load = ServiceLoad {
            busy: offered_load(gateway, service, demand, speed),
            is_offered: demand > 0.0,
            is_measured: speed.is_some(),
        };
        let boot_ms = (scaling.boot_s * 1_000.0) as u64;
        let planner = self.planners.entry(service.name.clone());
        let planner = planner.or_insert_with(|| NeedPlanner::new(policy));
        planner.observe(load, boot_ms, policy, gateway.steady_ms());
    }

    /// Returns the orders that are due now.
    pub fn due_orders(&mut self, gateway: &Gateway) -> Vec<FleetOrder> {
        let Some(table) = gateway.table() else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for service in &table.config().services {
            // During a rollout the upstreams of both versions are there for a while, and none
            // of them is surplus.
            let in_rollout = {
                let rollouts = gateway.rollouts.lock();
                rollouts.in_progress_target(service.name.as_str()).is_some()
            };
            if let Some(scaling) = service.autoscaling.as_ref().filter(|_| !in_rollout) {
                orders.extend(self.orders_of(gateway, service, scaling));
            }
        }
        orders
    }

    /// Records the outcome of an order.
    pub fn record(&mut self, order: &FleetOrder, outcome: OrderOutcome, boot_ms: u64, now_ms: u64) {
        if let Some(planner) = self.planners.get_mut(&order.service) {
            let taken = outcome == OrderOutcome::Taken;
            planner.record(&domain_order(order), taken, boot_ms, now_ms);
            return;
        }
        let next_ms = match outcome {
            OrderOutcome::Taken => now_ms + boot_ms + REORDER_AFTER_MS,
            OrderOutcome::NoneLeft => now_ms + NONE_LEFT_RETRY_MS,
        };
        let placed = PlacedOrder {
            count: order.count,
            next_ms,
            taken: outcome == OrderOutcome::Taken,
        };
        self.lower_since.remove(&key_of(order));
        self.placed.insert(key_of(order), placed);
    }

    fn orders_of(
        &mut self,
        gateway: &Gateway,
        service: &Service,
        scaling: &Autoscaling,
    ) -> Vec<FleetOrder> {
        if let Some(max_use) = gateway.settings.fleet.max_use {
            return self.orders_by_need(gateway, service, scaling, max_use);
        }
        let now_ms = gateway.steady_ms();
        let mut domains = domain_fleets(gateway, &service.name, scaling);
        self.add_starting(&service.name, &mut domains, now_ms);
        let demand = gateway.demand_of(&service.name);
        if demand > 0.0 {
            self.demand_since_ms.get_or_insert(now_ms);
        }
        let is_demand_known = self
            .demand_since_ms
            .is_some_and(|since| now_ms >= since + OBSERVE_DEMAND_MS);
        let speed = gateway.prefill_speed(&service.name);
        let load = offered_load(gateway, service, demand, speed);
        let policy = gateway.settings.fleet;
        let peaks = self.peaks.entry(service.name.clone());
        let peaks = peaks.or_insert_with(|| ServicePeaks::new(&policy));
        let mut fleet_demand = FleetDemand {
            steady: policy.needed(peaks.steady.record(load, now_ms)),
            now: policy.needed(peaks.now.record(load, now_ms)),
        };
        if !is_demand_known || speed.is_none() {
            let known = self.known.get(&service.name);
            let is_settled = known.is_some_and(|k| k.is_settled(now_ms));
            // Placed while only a part of the fleet is known, an order would remove the rest.
            // Without demand the removed upstreams are idle, so that this does no harm.
            if demand > 0.0 && !is_settled {
                return Vec::new();
            }
            // Demand is not known yet. The fleet that was found has been sufficient so far.
            let on_demand: u32 = domains.iter().map(|d| d.on_demand).sum();
            let found = self.found.entry(service.name.clone()).or_default();
            *found = on_demand.max(*found);
            fleet_demand.now = fleet_demand.now.max(*found);
            fleet_demand.steady = fleet_demand.steady.max(found.div_ceil(FOUND_RESERVE));
        }
        let bounds = bounds_of(scaling);
        let plans = plan_fleet(&domains, bounds, fleet_demand, &policy);
        let mut orders = Vec::new();
        for (plan, domain) in plans.into_iter().zip(&domains) {
            let order = |reclaimable, count| FleetOrder {
                service: service.name.clone(),
                domain: plan.domain.clone(),
                reclaimable,
                count,
            };
            orders.push((order(true, plan.reclaimable), domain.reclaimable));
            orders.push((order(false, plan.on_demand), domain.on_demand));
        }
        orders.retain(|(order, present)| self.is_due(order, *present, &policy, now_ms));
        orders.into_iter().map(|(order, _)| order).collect()
    }

    /// Returns the orders for a service whose fleet is planned by need. Of the capacity, `max_use` may be
    /// in use while lost upstreams are replaced.
    fn orders_by_need(
        &mut self,
        gateway: &Gateway,
        service: &Service,
        scaling: &Autoscaling,
        max_use: f64,
    ) -> Vec<FleetOrder> {
        let now_ms = gateway.steady_ms();
        let policy = &gateway.settings.fleet;
        let Some(planner) = self.planners.get_mut(&service.name) else {
            return Vec::new();
        };
        let known = self.known.get(&service.name);
        let domains = domain_fleets(gateway, &service.name, scaling);
        let view = FleetView {
            capacities: mean_capacities(&gateway.capacity_of(&service.name), &domains),
            domains,
            bounds: bounds_of(scaling),
            is_settled: known.is_some_and(|k| k.is_settled(now_ms)),
        };
        let due = planner.due_orders(&view, max_use, policy, now_ms);
        if let Some(reason) = planner.reason() {
            record_plan_metrics(service, reason, &view);
            if !due.is_empty() {
                log_plan(service, reason, &view);
            }
        }
        let orders = due.into_iter().map(|order| FleetOrder {
            service: service.name.clone(),
            domain: order.kind.domain,
            reclaimable: order.kind.reclaimable,
            count: order.count,
        });
        orders.collect()
    }

    /// Adds upstreams that are ordered and still starting.
    fn add_starting(&self, service: &ServiceName, domains: &mut [DomainFleet], now_ms: u64) {
        for domain in domains {
            let ordered = |reclaimable| {
                let key = (service.clone(), domain.domain.clone(), reclaimable);
                let placed = self.placed.get(&key);
                placed
                    .filter(|p| p.taken && now_ms < p.next_ms)
                    .map_or(0, |p| p.count)
            };
            let (on_demand, reclaimable) = (ordered(false), ordered(true));
            domain.on_demand = domain.on_demand.max(on_demand);
            domain.pending = reclaimable.saturating_sub(domain.reclaimable);
        }
    }

    /// Returns whether to place an order now: an increase immediately, a decrease only once
    /// it has been wanted for `lower_after_ms`.
    fn is_due(
        &mut self,
        order: &FleetOrder,
        present: u32,
        policy: &FleetPolicy,
        now_ms: u64,
    ) -> bool {
        let key = key_of(order);
        let placed = self.placed.get(&key).copied();
        let standing = placed.map_or(present, |p| p.count);
        if order.count >= standing {
            self.lower_since.remove(&key);
            let again = present != order.count && placed.is_none_or(|p| now_ms >= p.next_ms);
            return order.count > standing || again;
        }
        let since_ms = *self.lower_since.entry(key).or_insert(now_ms);
        now_ms >= since_ms + policy.lower_after_ms
    }
}

/// Returns the offered load as a number of fully busy upstreams: busy with prefilling prompts,
/// or with all of their slots taken, whichever number is higher.
fn offered_load(
    gateway: &Gateway,
    service: &Service,
    tokens_per_s: f64,
    speed: Option<PrefillSpeed>,
) -> f64 {
    let prefilling = speed.map_or(0.0, |s| tokens_per_s / s.tokens_per_s());
    let slots = service.engine.as_ref().map_or(0, |e| e.slots);
    let running = match slots {
        0 => 0.0,
        slots => f64::from(gateway.running_at(&service.name)) / f64::from(slots),
    };
    prefilling.max(running)
}

fn bounds_of(scaling: &Autoscaling) -> FleetBounds {
    FleetBounds {
        min_per_domain: scaling.min_per_domain,
        max_per_domain: scaling.max_per_domain,
        reclaimable_price: scaling.reclaimable_price,
    }
}

fn domain_order(order: &FleetOrder) -> DomainOrder {
    DomainOrder {
        kind: DomainKind {
            domain: order.domain.clone(),
            reclaimable: order.reclaimable,
        },
        count: order.count,
    }
}

/// Returns how many on-demand and how many reclaimable upstreams run.
fn running_by_kind(view: &FleetView) -> (u32, u32) {
    let on_demand = view.domains.iter().map(|d| d.on_demand).sum();
    let reclaimable = view.domains.iter().map(|d| d.reclaimable).sum();
    (on_demand, reclaimable)
}

/// Sets the metrics of the needed, planned and running capacity of a service.
fn record_plan_metrics(service: &Service, reason: &PlanReason, view: &FleetView) {
    let name = service.name.to_string();
    let needs = [
        ("every-day", reason.need.every_day),
        ("after-loss", reason.need.after_loss),
    ];
    for (need, upstreams) in needs {
        metrics::gauge!(FLEET_NEEDED, "service" => name.clone(), "need" => need).set(upstreams);
    }
    let (on_demand, reclaimable) = running_by_kind(view);
    for (kind, running, planned) in [
        ("on-demand", on_demand, reason.planned_on_demand),
        ("reclaimable", reclaimable, reason.planned_reclaimable),
    ] {
        metrics::gauge!(FLEET_RUNNING, "service" => name.clone(), "kind" => kind).set(running);
        metrics::gauge!(FLEET_PLANNED, "service" => name.clone(), "kind" => kind).set(planned);
    }
}

fn log_plan(service: &Service, reason: &PlanReason, view: &FleetView) {
    let (on_demand, reclaimable) = running_by_kind(view);
    log::info!(
        target: "fleet",
        "fleet planned. service={} load={:.1} slope={:.2} every_day={:.0} after_loss={:.1} losses={} left={:.1} bound={:?} on_demand={on_demand} reclaimable={reclaimable} planned_on_demand={} planned_reclaimable={}",
        service.name,
        reason.load,
        reason.slope_per_s,
        reason.need.every_day,
        reason.need.after_loss,
        reason.losses,
        reason.left,
        reason.bound,
        reason.planned_on_demand,
        reason.planned_reclaimable
    );
}

fn key_of(order: &FleetOrder) -> (ServiceName, FailureDomain, bool) {
    (
        order.service.clone(),
        order.domain.clone(),
        order.reclaimable,
    )
}

/// Counts a service's upstreams per failure domain. Includes the domains that have a price
/// and those in which an upstream is ready.
fn domain_fleets(
    gateway: &Gateway,
    service: &ServiceName,
    scaling: &Autoscaling,
) -> Vec<DomainFleet> {
    let directory = gateway.directory.read();
    let of_service = || directory.ready(service);
    let priced = scaling.domain_prices.keys().cloned();
    let names: BTreeSet<FailureDomain> = priced
        .chain(of_service().map(|b| b.domain.clone()))
        .collect();
    let fleets = names.into_iter().map(|domain| {
        let count = |reclaimable| {
            let present =
                of_service().filter(|b| b.domain == domain && b.reclaimable == reclaimable);
            present.count() as u32
        };
        DomainFleet {
            price: scaling.domain_prices.get(&domain).copied().unwrap_or(1.0),
            on_demand: count(false),
            reclaimable: count(true),
            pending: 0,
            domain,
        }
    });
    fleets.collect()
}
