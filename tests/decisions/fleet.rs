//! Fleet planning: how many upstreams are ordered, in which failure domains, and of which
//! price class.

use saddlepulley::{names::FailureDomain, policy::*};

fn domain(name: &str, price: f64, on_demand: u32, reclaimable: u32) -> DomainFleet {
    DomainFleet {
        domain: FailureDomain::from(name),
        price,
        on_demand,
        reclaimable,
        pending: 0,
    }
}

fn bounds(reclaimable_price: Option<f64>) -> FleetBounds {
    FleetBounds {
        min_per_domain: 1,
        max_per_domain: 6,
        reclaimable_price,
    }
}

fn totals(plans: &[DomainPlan]) -> (u32, u32) {
    let on_demand = plans.iter().map(|p| p.on_demand).sum();
    let reclaimable = plans.iter().map(|p| p.reclaimable).sum();
    (on_demand, reclaimable)
}

fn demand(needed: u32) -> FleetDemand {
    FleetDemand {
        steady: needed,
        now: needed,
    }
}

fn evenly(domains: u32, on_demand: u32, reclaimable: u32) -> Vec<DomainFleet> {
    let names = (0..domains).map(|d| d.to_string());
    names
        .map(|name| domain(&name, 1.0, on_demand, reclaimable))
        .collect()
}

const WIDE_BOUNDS: FleetBounds = FleetBounds {
    min_per_domain: 0,
    max_per_domain: 200,
    reclaimable_price: Some(0.2),
};

/// Plans repeatedly until the plan is stable; every order is fulfilled at once.
fn settled(
    mut domains: Vec<DomainFleet>,
    bounds: FleetBounds,
    demand: FleetDemand,
) -> Vec<DomainFleet> {
    for _ in 0..5 {
        let plans = plan_fleet(&domains, bounds, demand, &FleetPolicy::default());
        for (domain, plan) in domains.iter_mut().zip(plans) {
            domain.on_demand = plan.on_demand;
            domain.reclaimable = plan.reclaimable;
        }
    }
    domains
}

fn total(domains: &[DomainFleet]) -> u32 {
    domains.iter().map(|d| d.on_demand + d.reclaimable).sum()
}

#[test]
fn enough_upstreams_remain_when_two_domains_lose_their_reclaimable_ones() {
    for needed in 3..20 {
        for domains in 3..6 {
            let mut fleet = settled(evenly(domains, 0, 0), WIDE_BOUNDS, demand(needed));
            assert!(fleet.iter().all(|d| d.on_demand == 0), "{fleet:?}");
            for _ in 0..2 {
                let largest = fleet.iter_mut().max_by_key(|d| d.reclaimable).unwrap();
                largest.reclaimable = 0;
            }
            assert!(
                total(&fleet) + 1 >= needed,
                "{needed} in {domains}: {fleet:?}"
            );
        }
    }
}

#[test]
fn with_two_domains_enough_upstreams_remain_when_one_loses_its_reclaimable_ones() {
    for needed in 3..20 {
        let mut fleet = settled(evenly(2, 0, 0), WIDE_BOUNDS, demand(needed));
        fleet[0].reclaimable = 0;
        assert!(total(&fleet) >= needed, "{needed}: {fleet:?}");
    }
}

#[test]
fn a_single_domain_keeps_a_share_of_on_demand_upstreams() {
    let fleet = settled(evenly(1, 0, 0), WIDE_BOUNDS, demand(10));
    assert_eq!((fleet[0].on_demand, fleet[0].reclaimable), (5, 10));
}

#[test]
fn on_demand_upstreams_are_kept_until_their_replacements_serve() {
    let starting = |running| {
        let mut fleet = evenly(3, 3, running);
        fleet.iter_mut().for_each(|d| d.pending = 9 - running);
        fleet
    };
    let (on_demand, reclaimable) = totals(&plan_fleet(
        &starting(0),
        WIDE_BOUNDS,
        demand(9),
        &FleetPolicy::default(),
    ));
    assert_eq!((on_demand, reclaimable), (9, 27));
    let (on_demand, _) = totals(&plan_fleet(
        &starting(2),
        WIDE_BOUNDS,
        demand(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(on_demand, 3, "six reclaimable ones run, more start");
    let (on_demand, _) = totals(&plan_fleet(
        &evenly(3, 3, 9),
        WIDE_BOUNDS,
        demand(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(on_demand, 0);
}

#[test]
fn on_demand_upstreams_are_ordered_before_the_last_reclaimable_ones_are_lost() {
    let mut fleet = evenly(3, 0, 9);
    fleet[0].reclaimable = 0;
    let (on_demand, _) = totals(&plan_fleet(
        &fleet,
        WIDE_BOUNDS,
        demand(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(on_demand, 0, "enough remain after the next loss");
    fleet[1].reclaimable = 0;
    let (on_demand, _) = totals(&plan_fleet(
        &fleet,
        WIDE_BOUNDS,
        demand(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(
        on_demand, 8,
        "0.8 of 9, since the next loss would leave none"
    );
    fleet[2].reclaimable = 0;
    let (on_demand, _) = totals(&plan_fleet(
        &fleet,
        WIDE_BOUNDS,
        demand(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(on_demand, 9, "all that is needed");
}

#[test]
fn on_demand_upstreams_are_not_ordered_while_reclaimable_ones_start() {
    let mut fleet = evenly(3, 0, 0);
    for domain in &mut fleet {
        domain.pending = 9;
    }
    assert_eq!(
        totals(&plan_fleet(
            &fleet,
            WIDE_BOUNDS,
            demand(9),
            &FleetPolicy::default()
        ))
        .0,
        0
    );
}

#[test]
fn on_demand_upstreams_follow_the_current_demand_and_reclaimable_ones_its_peak() {
    let demand = FleetDemand { steady: 9, now: 4 };
    let mut fleet = evenly(3, 9, 0);
    fleet.iter_mut().for_each(|d| d.pending = 9);
    let (on_demand, reclaimable) = totals(&plan_fleet(
        &fleet,
        WIDE_BOUNDS,
        demand,
        &FleetPolicy::default(),
    ));
    assert_eq!((on_demand, reclaimable), (4, 27));
}

#[test]
fn the_loss_of_two_domains_is_covered_only_if_that_is_cheap() {
    let expensive = FleetBounds {
        reclaimable_price: Some(0.5),
        ..WIDE_BOUNDS
    };
    let (_, reclaimable) = totals(&plan_fleet(
        &evenly(3, 0, 0),
        expensive,
        demand(10),
        &FleetPolicy::default(),
    ));
    assert_eq!(reclaimable, 15, "for the loss of one domain");
}

#[test]
fn the_bounds_of_a_domain_hold_for_both_classes_together() {
    let fleets = [domain("a", 1.0, 0, 0), domain("b", 1.2, 0, 0)];
    for needed in 0..40 {
        for plan in plan_fleet(
            &fleets,
            bounds(Some(0.2)),
            demand(needed),
            &FleetPolicy::default(),
        ) {
            let both = plan.on_demand + plan.reclaimable;
            assert!((1..=6).contains(&both), "{needed}: {plan:?}");
        }
    }
}

#[test]
fn without_cheap_reclaimable_upstreams_all_are_on_demand() {
    let fleets = [domain("a", 1.0, 2, 0), domain("b", 1.2, 2, 0)];
    for price in [None, Some(0.9)] {
        let (on_demand, reclaimable) = totals(&plan_fleet(
            &fleets,
            bounds(price),
            demand(4),
            &FleetPolicy::default(),
        ));
        assert_eq!((on_demand, reclaimable), (4, 0));
    }
}

#[test]
fn a_peak_of_demand_decays_slowly() {
    let mut peak = DemandPeak::new(30_000.0);
    assert_eq!(peak.record(90.0, 0), 90.0);
    assert!(peak.record(10.0, 5_000) > 70.0);
    assert!(peak.record(10.0, 200_000) < 11.0);
}

/// A daemon that starts learns of the upstreams step by step. If it placed a fleet order in
/// the meantime, the platform would take away all upstreams beyond the order: 985 boxes that
/// started together ordered 119 upstreams in a domain that had 1,939.
#[test]
fn no_fleet_order_is_based_on_a_part_of_the_fleet() {
    const UPSTREAMS: u32 = 9_695;
    const CHECK_INTERVAL_MS: u64 = 250;
    for known_after_ms in [250, 1_000, 3_000, 10_000, 30_000] {
        let mut fleet = KnownFleet::new(0);
        let mut settled_ms = None;
        for now_ms in (0..60_000).step_by(CHECK_INTERVAL_MS as usize) {
            let part = (now_ms as f64 / f64::from(known_after_ms)).min(1.0);
            let known = (f64::from(UPSTREAMS) * part) as u32;
            fleet.record(known, now_ms);
            if fleet.is_settled(now_ms) {
                settled_ms.get_or_insert(now_ms);
                assert!(known >= UPSTREAMS / 100 * 97, "{known} of {UPSTREAMS}");
            }
        }
        let settled_ms = settled_ms.expect("all upstreams become known");
        assert!(settled_ms <= u64::from(known_after_ms as u32) + 2_250);
    }
}

#[test]
fn a_few_upstreams_that_come_and_go_do_not_count_as_growth() {
    let mut fleet = KnownFleet::new(0);
    fleet.record(100, 0);
    for now_ms in (0..2_000).step_by(250) {
        assert!(!fleet.is_settled(now_ms));
        fleet.record(100 + u32::from(now_ms % 500 == 0), now_ms);
    }
    assert!(fleet.is_settled(2_000));
    fleet.record(130, 2_250);
    assert!(!fleet.is_settled(2_250));
    assert!(fleet.is_settled(4_250));
}
