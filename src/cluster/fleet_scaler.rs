use {
    super::{FleetOrder, OrderEnd},
    crate::{
        gateway::Gateway,
        names::{ServiceName, ZoneName},
        policy::{DemandPeak, FleetBounds, ZoneFleet, needed_backends, plan_fleet},
        routing::{Autoscaling, Service},
    },
    std::collections::{BTreeSet, HashMap},
};

/// What a model back end can do: prompt tokens a second.
const PROMPT_TOKENS_PER_S: f64 = 30_000.0;
/// After how long an order that shows no effect is placed again, beside the
/// time that back ends take to start, in milliseconds.
const AGAIN_AFTER_MS: u64 = 2_000;
/// After how long an order is placed again where none were left, in milliseconds.
const NONE_LEFT_MS: u64 = 2_000;
/// How long demand is watched before anything is lowered, in milliseconds.
const WATCH_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct Placed {
    count: u32,
    next_ms: u64,
}

/// Decides which orders for back ends to place.
#[derive(Debug, Default)]
pub struct FleetScaler {
    peaks: HashMap<ServiceName, DemandPeak>,
    placed: HashMap<(ServiceName, ZoneName, bool), Placed>,
    demand_since_ms: Option<u64>,
}

impl FleetScaler {
    /// Returns the orders that are due.
    pub fn due_orders(&mut self, gateway: &Gateway) -> Vec<FleetOrder> {
        let Some(table) = gateway.table() else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for service in &table.config().services {
            if let Some(scaling) = &service.autoscaling {
                orders.extend(self.orders_of(gateway, service, scaling));
            }
        }
        orders
    }

    /// Notes how an order ended.
    pub fn note(&mut self, order: &FleetOrder, end: OrderEnd, boot_ms: u64, now_ms: u64) {
        let next_ms = match end {
            OrderEnd::Taken => now_ms + boot_ms + AGAIN_AFTER_MS,
            OrderEnd::NoneLeft => now_ms + NONE_LEFT_MS,
        };
        let placed = Placed {
            count: order.count,
            next_ms,
        };
        self.placed.insert(key_of(order), placed);
    }

    fn orders_of(
        &mut self,
        gateway: &Gateway,
        service: &Service,
        scaling: &Autoscaling,
    ) -> Vec<FleetOrder> {
        let now_ms = gateway.steady_ms();
        let zones = zone_fleets(gateway, &service.name, scaling);
        let demand = gateway.demand_of(&service.name);
        let peak = self.peaks.entry(service.name.clone()).or_default();
        let peak = peak.note(demand, now_ms);
        if demand > 0.0 {
            self.demand_since_ms.get_or_insert(now_ms);
        }
        let there: u32 = zones.iter().map(|z| z.on_demand + z.reclaimable).sum();
        let watched = self
            .demand_since_ms
            .is_some_and(|since| now_ms >= since + WATCH_MS);
        let mut needed = needed_backends(peak, PROMPT_TOKENS_PER_S);
        if !watched {
            needed = needed.max(there.div_ceil(2));
        }
        let bounds = FleetBounds {
            min_per_zone: scaling.min_per_zone,
            max_per_zone: scaling.max_per_zone,
            reclaimable_price: scaling.reclaimable_price,
        };
        let mut orders = Vec::new();
        for (plan, zone) in plan_fleet(&zones, bounds, needed).into_iter().zip(&zones) {
            let order = |reclaimable, count| FleetOrder {
                service: service.name.clone(),
                zone: plan.zone.clone(),
                reclaimable,
                count,
            };
            orders.push((order(true, plan.reclaimable), zone.reclaimable));
            orders.push((order(false, plan.on_demand), zone.on_demand));
        }
        let due = orders
            .into_iter()
            .filter(|(o, there)| self.is_due(o, *there, now_ms));
        due.map(|(order, _)| order).collect()
    }

    fn is_due(&self, order: &FleetOrder, there: u32, now_ms: u64) -> bool {
        match self.placed.get(&key_of(order)) {
            Some(placed) if placed.count == order.count => {
                there != order.count && now_ms >= placed.next_ms
            }
            Some(_) => true,
            None => there != order.count,
        }
    }
}

fn key_of(order: &FleetOrder) -> (ServiceName, ZoneName, bool) {
    (order.service.clone(), order.zone.clone(), order.reclaimable)
}

/// Counts a service's back ends, in the zones that have a price or any of them.
fn zone_fleets(gateway: &Gateway, service: &ServiceName, scaling: &Autoscaling) -> Vec<ZoneFleet> {
    let directory = gateway.directory.read();
    let of_service = || directory.ready(service);
    let priced = scaling.zone_prices.keys().cloned();
    let names: BTreeSet<ZoneName> = priced.chain(of_service().map(|b| b.zone.clone())).collect();
    let fleets = names.into_iter().map(|zone| {
        let count = |reclaimable| {
            let there = of_service().filter(|b| b.zone == zone && b.reclaimable == reclaimable);
            there.count() as u32
        };
        ZoneFleet {
            price: scaling.zone_prices.get(&zone).copied().unwrap_or(1.0),
            on_demand: count(false),
            reclaimable: count(true),
            zone,
        }
    });
    fleets.collect()
}
