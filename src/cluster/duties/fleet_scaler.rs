use {
    crate::{
        cluster::{FleetOrder, OrderOutcome},
        gateway::Gateway,
        names::{FailureDomain, ServiceName},
        policy::{
            DemandPeak, DomainFleet, FleetBounds, FleetDemand, FleetPolicy, KnownFleet,
            ReadingSpeed, plan_fleet,
        },
        routing::{Autoscaling, Service},
    },
    std::collections::{BTreeSet, HashMap},
};

/// After how long an order that shows no effect is placed again, beside the
/// time that upstreams take to start, in milliseconds.
const AGAIN_AFTER_MS: u64 = 2_000;
/// After how long an order is placed again where none were left, in milliseconds.
const NONE_LEFT_MS: u64 = 2_000;
/// How long demand is watched before anything is lowered, in milliseconds.
const WATCH_MS: u64 = 4_000;
/// How many times the upstreams that are needed a fleet is taken to have that
/// is found before demand is known.
const FOUND_RESERVE: u32 = 2;

/// The order that was placed last for a kind of upstream in a domain.
#[derive(Clone, Copy, Debug)]
struct Placed {
    count: u32,
    /// From when it may be placed again.
    next_ms: u64,
    taken: bool,
}

/// A service's highest demand, over a longer and a shorter time.
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

/// Decides which orders for upstreams to place.
#[derive(Debug, Default)]
pub struct FleetScaler {
    peaks: HashMap<ServiceName, ServicePeaks>,
    placed: HashMap<(ServiceName, FailureDomain, bool), Placed>,
    /// Since when fewer are wanted than are there.
    lower_since: HashMap<(ServiceName, FailureDomain, bool), u64>,
    demand_since_ms: Option<u64>,
    known: HashMap<ServiceName, KnownFleet>,
    /// How many on-demand upstreams a service had before demand was known.
    found: HashMap<ServiceName, u32>,
}

impl FleetScaler {
    /// Notes how many upstreams are known. Also those look that don't hold the duties:
    /// they know what is there when they take them over.
    pub fn look(&mut self, gateway: &Gateway) {
        let Some(table) = gateway.table() else {
            return;
        };
        let now_ms = gateway.steady_ms();
        let directory = gateway.directory.read();
        let services = table.config().services.iter();
        for service in services.filter(|s| s.autoscaling.is_some()) {
            let there = directory.ready(&service.name).count() as u32;
            let known = self.known.entry(service.name.clone());
            let known = known.or_insert_with(|| KnownFleet::new(now_ms));
            known.record(there, now_ms);
        }
    }

    /// Returns the orders that are due.
    pub fn due_orders(&mut self, gateway: &Gateway) -> Vec<FleetOrder> {
        let Some(table) = gateway.table() else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for service in &table.config().services {
            // While versions change, both are there for a while: none is one too many.
            let is_moving = {
                let rollouts = gateway.rollouts.lock();
                rollouts.moving_to(service.name.as_str()).is_some()
            };
            if let Some(scaling) = service.autoscaling.as_ref().filter(|_| !is_moving) {
                orders.extend(self.orders_of(gateway, service, scaling));
            }
        }
        orders
    }

    /// Notes how an order ended.
    pub fn record(&mut self, order: &FleetOrder, end: OrderOutcome, boot_ms: u64, now_ms: u64) {
        let next_ms = match end {
            OrderOutcome::Taken => now_ms + boot_ms + AGAIN_AFTER_MS,
            OrderOutcome::NoneLeft => now_ms + NONE_LEFT_MS,
        };
        let placed = Placed {
            count: order.count,
            next_ms,
            taken: end == OrderOutcome::Taken,
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
        let now_ms = gateway.steady_ms();
        let mut domains = domain_fleets(gateway, &service.name, scaling);
        self.add_coming(&service.name, &mut domains, now_ms);
        let demand = gateway.demand_of(&service.name);
        if demand > 0.0 {
            self.demand_since_ms.get_or_insert(now_ms);
        }
        let watched = self
            .demand_since_ms
            .is_some_and(|since| now_ms >= since + WATCH_MS);
        let speed = gateway.reading_speed(&service.name);
        let load = offered_load(gateway, service, demand, speed);
        let policy = gateway.settings.fleet;
        let peaks = self.peaks.entry(service.name.clone());
        let peaks = peaks.or_insert_with(|| ServicePeaks::new(&policy));
        let mut need = FleetDemand {
            steady: policy.needed(peaks.steady.record(load, now_ms)),
            now: policy.needed(peaks.now.record(load, now_ms)),
        };
        if !watched || speed.is_none() {
            let known = self.known.get(&service.name);
            let is_settled = known.is_some_and(|k| k.is_settled(now_ms));
            // While nobody asks, what is taken away had no work.
            if demand > 0.0 && !is_settled {
                return Vec::new();
            }
            // Demand is not known yet: what was found was enough so far.
            let on_demand: u32 = domains.iter().map(|z| z.on_demand).sum();
            let found = self.found.entry(service.name.clone()).or_default();
            *found = on_demand.max(*found);
            need.now = need.now.max(*found);
            need.steady = need.steady.max(found.div_ceil(FOUND_RESERVE));
        }
        let bounds = FleetBounds {
            min_per_domain: scaling.min_per_domain,
            max_per_domain: scaling.max_per_domain,
            reclaimable_price: scaling.reclaimable_price,
        };
        let plans = plan_fleet(&domains, bounds, need, &policy);
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
        orders.retain(|(order, there)| self.is_due(order, *there, &policy, now_ms));
        orders.into_iter().map(|(order, _)| order).collect()
    }

    /// Counts upstreams that are ordered and start by now.
    fn add_coming(&self, service: &ServiceName, domains: &mut [DomainFleet], now_ms: u64) {
        for domain in domains {
            let pending = |reclaimable| {
                let key = (service.clone(), domain.domain.clone(), reclaimable);
                let placed = self.placed.get(&key);
                placed
                    .filter(|p| p.taken && now_ms < p.next_ms)
                    .map_or(0, |p| p.count)
            };
            let (on_demand, reclaimable) = (pending(false), pending(true));
            domain.on_demand = domain.on_demand.max(on_demand);
            domain.pending = reclaimable.saturating_sub(domain.reclaimable);
        }
    }

    /// Returns whether to place an order: more at once, fewer only once they
    /// have been wanted for a while.
    fn is_due(
        &mut self,
        order: &FleetOrder,
        there: u32,
        policy: &FleetPolicy,
        now_ms: u64,
    ) -> bool {
        let key = key_of(order);
        let placed = self.placed.get(&key).copied();
        let standing = placed.map_or(there, |p| p.count);
        if order.count >= standing {
            self.lower_since.remove(&key);
            let again = there != order.count && placed.is_none_or(|p| now_ms >= p.next_ms);
            return order.count > standing || again;
        }
        let since_ms = *self.lower_since.entry(key).or_insert(now_ms);
        now_ms >= since_ms + policy.lower_after_ms
    }
}

/// Returns how many upstreams would be busy all the time with what is offered:
/// with reading prompts, or with all of their slots.
fn offered_load(
    gateway: &Gateway,
    service: &Service,
    tokens_per_s: f64,
    speed: Option<ReadingSpeed>,
) -> f64 {
    let reading = speed.map_or(0.0, |s| tokens_per_s / s.tokens_per_s());
    let slots = service.engine.as_ref().map_or(0, |e| e.slots);
    let running = match slots {
        0 => 0.0,
        slots => f64::from(gateway.running_at(&service.name)) / f64::from(slots),
    };
    reading.max(running)
}

fn key_of(order: &FleetOrder) -> (ServiceName, FailureDomain, bool) {
    (
        order.service.clone(),
        order.domain.clone(),
        order.reclaimable,
    )
}

/// Counts a service's upstreams, in the domains that have a price or any of them.
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
            let there = of_service().filter(|b| b.domain == domain && b.reclaimable == reclaimable);
            there.count() as u32
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
