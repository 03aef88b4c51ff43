use crate::names::ZoneName;

/// Of what a back end can do, how much is planned with: the rest is for
/// requests that come in clumps.
const PLANNED_USE: f64 = 0.45;
/// Of the back ends that are needed, how many can't be taken away.
const ON_DEMAND_PART: f64 = 0.3;
/// Reclaimable back ends are worth their risk below this price.
const WORTHWHILE_PRICE: f64 = 0.7;
/// The fewest back ends that are planned for a service.
const MIN_NEEDED: f64 = 3.0;

/// A zone as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFleet {
    /// The zone.
    pub zone: ZoneName,
    /// What a second of a back end costs there.
    pub price: f64,
    /// Back ends there that can't be taken away.
    pub on_demand: u32,
    /// Back ends there that can be taken away and have not been told to leave.
    pub reclaimable: u32,
    /// Reclaimable ones that are ordered and start by now.
    pub coming: u32,
}

/// Bounds of a service's fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// The least back ends of a zone, of both kinds together.
    pub min_per_zone: u32,
    /// The most back ends of a zone, of both kinds together.
    pub max_per_zone: u32,
    /// The price of a reclaimable back end as a share of the other kind's.
    pub reclaimable_price: Option<f64>,
}

/// How many back ends a zone shall have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonePlan {
    /// The zone.
    pub zone: ZoneName,
    /// Those that can't be taken away.
    pub on_demand: u32,
    /// Those that can.
    pub reclaimable: u32,
}

/// Returns how many back ends the demand needs; `capacity` is what one can do.
pub fn needed_backends(demand: f64, capacity: f64) -> u32 {
    let needed = demand / (capacity * PLANNED_USE).max(f64::MIN_POSITIVE);
    needed.max(MIN_NEEDED).ceil() as u32
}

/// Plans a service's fleet.
///
/// Reclaimable back ends carry the load where they are cheap: as many as are
/// needed stay when any one zone's are taken away. A part is on demand, in the
/// cheapest zones. A kind is only lowered while enough of both are there.
pub fn plan_fleet(zones: &[ZoneFleet], bounds: FleetBounds, needed: u32) -> Vec<ZonePlan> {
    let cheap = bounds
        .reclaimable_price
        .is_some_and(|p| p < WORTHWHILE_PRICE);
    let reclaimable = match cheap {
        true => spread(needed_with_a_zone_lost(needed, zones.len()), zones),
        false => vec![0; zones.len()],
    };
    let there: u32 = zones.iter().map(|z| z.reclaimable).sum();
    let counted_on = there + zones.iter().map(|z| z.coming).sum::<u32>();
    let wanted: u32 = reclaimable.iter().sum();
    let missing = wanted.saturating_sub(there);
    let on_demand_total = match cheap {
        true => on_demand_part(needed).max(needed.saturating_sub(counted_on)),
        false => needed,
    };
    let on_demand = spread(on_demand_total, zones);
    let plans = zones.iter().zip(on_demand.into_iter().zip(reclaimable));
    let plans = plans.map(|(zone, (on_demand, reclaimable))| {
        let on_demand = match missing > 0 {
            // What is there goes on until those that replace it serve.
            true => on_demand.max(zone.on_demand.min(on_demand + missing)),
            false => on_demand,
        };
        bounded(zone, on_demand, reclaimable, bounds)
    });
    plans.collect()
}

/// The fewest, spread evenly, of which enough are left without one zone's.
fn needed_with_a_zone_lost(needed: u32, zones: usize) -> u32 {
    let zones = zones as u32;
    match zones {
        0 | 1 => needed,
        _ => (needed * zones).div_ceil(zones - 1),
    }
}

fn on_demand_part(needed: u32) -> u32 {
    (f64::from(needed) * ON_DEMAND_PART).ceil() as u32
}

/// Spreads a number evenly; what is left over goes to the cheapest zones.
fn spread(total: u32, zones: &[ZoneFleet]) -> Vec<u32> {
    let count = zones.len().max(1) as u32;
    let mut shares = vec![total / count; zones.len()];
    let mut by_price: Vec<usize> = (0..zones.len()).collect();
    by_price.sort_by(|a, b| zones[*a].price.total_cmp(&zones[*b].price));
    for index in by_price.into_iter().take((total % count) as usize) {
        shares[index] += 1;
    }
    shares
}

fn bounded(zone: &ZoneFleet, on_demand: u32, reclaimable: u32, bounds: FleetBounds) -> ZonePlan {
    let on_demand = on_demand.min(bounds.max_per_zone);
    let mut reclaimable = reclaimable.min(bounds.max_per_zone - on_demand);
    let lacking = bounds.min_per_zone.saturating_sub(on_demand + reclaimable);
    reclaimable += lacking;
    ZonePlan {
        zone: zone.zone.clone(),
        on_demand,
        reclaimable,
    }
}
