//! How many upstreams are ordered, where, and of which kind.

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

fn need(needed: u32) -> FleetDemand {
    FleetDemand {
        steady: needed,
        now: needed,
    }
}

fn evenly(domains: u32, on_demand: u32, reclaimable: u32) -> Vec<DomainFleet> {
    let names = (0..domains).map(|z| z.to_string());
    names
        .map(|name| domain(&name, 1.0, on_demand, reclaimable))
        .collect()
}

const LOOSE: FleetBounds = FleetBounds {
    min_per_domain: 0,
    max_per_domain: 200,
    reclaimable_price: Some(0.2),
};

/// Plans until nothing changes any more, all orders being served at once.
fn settled(
    mut domains: Vec<DomainFleet>,
    bounds: FleetBounds,
    need: FleetDemand,
) -> Vec<DomainFleet> {
    for _ in 0..5 {
        let plans = plan_fleet(&domains, bounds, need, &FleetPolicy::default());
        for (domain, plan) in domains.iter_mut().zip(plans) {
            domain.on_demand = plan.on_demand;
            domain.reclaimable = plan.reclaimable;
        }
    }
    domains
}

fn all(domains: &[DomainFleet]) -> u32 {
    domains.iter().map(|z| z.on_demand + z.reclaimable).sum()
}

#[test]
fn enough_is_left_when_the_reclaimable_ones_of_two_domains_go() {
    for needed in 3..20 {
        for domains in 3..6 {
            let mut fleet = settled(evenly(domains, 0, 0), LOOSE, need(needed));
            assert!(fleet.iter().all(|z| z.on_demand == 0), "{fleet:?}");
            for _ in 0..2 {
                let largest = fleet.iter_mut().max_by_key(|z| z.reclaimable).unwrap();
                largest.reclaimable = 0;
            }
            assert!(
                all(&fleet) + 1 >= needed,
                "{needed} in {domains}: {fleet:?}"
            );
        }
    }
}

#[test]
fn with_two_domains_enough_is_left_when_one_domains_go() {
    for needed in 3..20 {
        let mut fleet = settled(evenly(2, 0, 0), LOOSE, need(needed));
        fleet[0].reclaimable = 0;
        assert!(all(&fleet) >= needed, "{needed}: {fleet:?}");
    }
}

#[test]
fn a_lone_domain_keeps_a_part_that_cannot_be_taken_away() {
    let fleet = settled(evenly(1, 0, 0), LOOSE, need(10));
    assert_eq!((fleet[0].on_demand, fleet[0].reclaimable), (5, 10));
}

#[test]
fn what_is_there_goes_on_until_its_replacement_serves() {
    let starting = |there| {
        let mut fleet = evenly(3, 3, there);
        fleet.iter_mut().for_each(|z| z.pending = 9 - there);
        fleet
    };
    let (on_demand, reclaimable) = totals(&plan_fleet(
        &starting(0),
        LOOSE,
        need(9),
        &FleetPolicy::default(),
    ));
    assert_eq!((on_demand, reclaimable), (9, 27));
    let (on_demand, _) = totals(&plan_fleet(
        &starting(2),
        LOOSE,
        need(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(on_demand, 3, "six serve, more start");
    let (on_demand, _) = totals(&plan_fleet(
        &evenly(3, 3, 9),
        LOOSE,
        need(9),
        &FleetPolicy::default(),
    ));
    assert_eq!(on_demand, 0);
}

#[test]
fn on_demand_ones_step_in_before_the_last_reclaimable_ones_go() {
    let mut fleet = evenly(3, 0, 9);
    fleet[0].reclaimable = 0;
    let (on_demand, _) = totals(&plan_fleet(&fleet, LOOSE, need(9), &FleetPolicy::default()));
    assert_eq!(on_demand, 0, "the next loss leaves enough");
    fleet[1].reclaimable = 0;
    let (on_demand, _) = totals(&plan_fleet(&fleet, LOOSE, need(9), &FleetPolicy::default()));
    assert_eq!(on_demand, 8, "0.8 of 9: the next loss would leave none");
    fleet[2].reclaimable = 0;
    let (on_demand, _) = totals(&plan_fleet(&fleet, LOOSE, need(9), &FleetPolicy::default()));
    assert_eq!(on_demand, 9, "all that is needed");
}

#[test]
fn on_demand_ones_are_not_ordered_while_reclaimable_ones_start() {
    let mut fleet = evenly(3, 0, 0);
    for domain in &mut fleet {
        domain.pending = 9;
    }
    assert_eq!(
        totals(&plan_fleet(&fleet, LOOSE, need(9), &FleetPolicy::default())).0,
        0
    );
}

#[test]
fn dear_ones_follow_the_demand_of_now_and_cheap_ones_its_peak() {
    let need = FleetDemand { steady: 9, now: 4 };
    let mut fleet = evenly(3, 9, 0);
    fleet.iter_mut().for_each(|z| z.pending = 9);
    let (on_demand, reclaimable) =
        totals(&plan_fleet(&fleet, LOOSE, need, &FleetPolicy::default()));
    assert_eq!((on_demand, reclaimable), (4, 27));
}

#[test]
fn two_domains_losses_are_borne_only_where_that_is_cheap() {
    let dearer = FleetBounds {
        reclaimable_price: Some(0.5),
        ..LOOSE
    };
    let (_, reclaimable) = totals(&plan_fleet(
        &evenly(3, 0, 0),
        dearer,
        need(10),
        &FleetPolicy::default(),
    ));
    assert_eq!(reclaimable, 15, "one domain's loss");
}

#[test]
fn bounds_of_a_domain_hold_for_both_kinds_together() {
    let fleets = [domain("a", 1.0, 0, 0), domain("b", 1.2, 0, 0)];
    for needed in 0..40 {
        for plan in plan_fleet(
            &fleets,
            bounds(Some(0.2)),
            need(needed),
            &FleetPolicy::default(),
        ) {
            let both = plan.on_demand + plan.reclaimable;
            assert!((1..=6).contains(&both), "{needed}: {plan:?}");
        }
    }
}

#[test]
fn without_cheap_reclaimable_ones_all_are_on_demand() {
    let fleets = [domain("a", 1.0, 2, 0), domain("b", 1.2, 2, 0)];
    for price in [None, Some(0.9)] {
        let (on_demand, reclaimable) = totals(&plan_fleet(
            &fleets,
            bounds(price),
            need(4),
            &FleetPolicy::default(),
        ));
        assert_eq!((on_demand, reclaimable), (4, 0));
    }
}

#[test]
fn a_peak_of_demand_is_kept_for_a_while() {
    let mut peak = DemandPeak::new(30_000.0);
    assert_eq!(peak.record(90.0, 0), 90.0);
    assert!(peak.record(10.0, 5_000) > 70.0);
    assert!(peak.record(10.0, 200_000) < 11.0);
}

/// Orders that are placed while a daemon learns, step by step, what is there: the platform
/// takes away what is beyond them. 985 boxes that started together had ordered 119
/// upstreams in a domain that had 1,939.
#[test]
fn a_fleet_is_ordered_by_only_once_it_is_known_whole() {
    const THERE: u32 = 9_695;
    const LOOK_MS: u64 = 250;
    for known_after_ms in [250, 1_000, 3_000, 10_000, 30_000] {
        let mut fleet = KnownFleet::new(0);
        let mut settled_ms = None;
        for now_ms in (0..60_000).step_by(LOOK_MS as usize) {
            let part = (now_ms as f64 / f64::from(known_after_ms)).min(1.0);
            let known = (f64::from(THERE) * part) as u32;
            fleet.record(known, now_ms);
            if fleet.is_settled(now_ms) {
                settled_ms.get_or_insert(now_ms);
                assert!(known >= THERE / 100 * 97, "{known} of {THERE}");
            }
        }
        let settled_ms = settled_ms.expect("it is known at last");
        assert!(settled_ms <= u64::from(known_after_ms as u32) + 2_250);
    }
}

#[test]
fn a_few_upstreams_that_come_and_go_are_no_growth() {
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
