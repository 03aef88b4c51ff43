//! When a request is sent to another failure domain.

use {
    crate::support::{request_needs, upstream},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::{names::*, policy::*},
};

fn domain(name: &str, running: u32, waiting: u32) -> DomainUpstreams {
    let mut u = upstream(&format!("{name}-1"));
    u.running = running;
    u.waiting = waiting;
    DomainUpstreams {
        failure_domain: FailureDomain::from(name),
        upstreams: vec![u],
    }
}

fn chosen(here: &DomainUpstreams, waiting: u32, others: &[DomainUpstreams]) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    spill(&request_needs(), here, waiting, others, &mut rng).map(|d| d.to_string())
}

#[test]
fn requests_stay_while_the_target_is_met() {
    assert_eq!(chosen(&domain("a", 3, 0), 0, &[domain("b", 0, 0)]), None);
}

#[test]
fn requests_that_would_miss_the_target_go_to_a_domain_with_free_slots() {
    let others = [domain("b", 16, 30), domain("c", 2, 0)];
    assert_eq!(
        chosen(&domain("a", 16, 20), 0, &others),
        Some("c".to_string())
    );
}

#[test]
fn queued_requests_count_toward_the_expected_latency() {
    let others = [domain("c", 2, 0)];
    assert_eq!(chosen(&domain("a", 10, 0), 0, &others), None);
    assert_eq!(
        chosen(&domain("a", 10, 0), 60, &others),
        Some("c".to_string())
    );
}

#[test]
fn requests_stay_if_no_other_domain_has_free_slots() {
    let others = [domain("b", 16, 1), domain("c", 14, 0)];
    assert_eq!(chosen(&domain("a", 16, 20), 0, &others), None);
}

#[test]
fn requests_are_spread_over_domains_by_their_free_slots() {
    let others = [domain("b", 8, 0), domain("c", 0, 0)];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let here = domain("a", 16, 20);
    let mut to_c = 0;
    for _ in 0..900 {
        let to = spill(&request_needs(), &here, 0, &others, &mut rng).unwrap();
        to_c += usize::from(to.as_str() == "c");
    }
    assert!((540..660).contains(&to_c), "{to_c}");
}
