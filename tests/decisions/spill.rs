//! When a request goes to another failure domain.

use {
    crate::support::{ask, upstream},
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
    spill(&ask(), here, waiting, others, &mut rng).map(|d| d.to_string())
}

#[test]
fn it_stays_while_the_target_is_met() {
    assert_eq!(chosen(&domain("a", 3, 0), 0, &[domain("b", 0, 0)]), None);
}

#[test]
fn it_goes_where_there_is_room_when_the_target_would_be_missed() {
    let others = [domain("b", 16, 30), domain("c", 2, 0)];
    assert_eq!(
        chosen(&domain("a", 16, 20), 0, &others),
        Some("c".to_string())
    );
}

#[test]
fn requests_that_wait_before_it_count() {
    let others = [domain("c", 2, 0)];
    assert_eq!(chosen(&domain("a", 10, 0), 0, &others), None);
    assert_eq!(
        chosen(&domain("a", 10, 0), 60, &others),
        Some("c".to_string())
    );
}

#[test]
fn it_stays_where_no_domain_has_room() {
    let others = [domain("b", 16, 1), domain("c", 14, 0)];
    assert_eq!(chosen(&domain("a", 16, 20), 0, &others), None);
}

#[test]
fn several_domains_share_by_their_room() {
    let others = [domain("b", 8, 0), domain("c", 0, 0)];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let here = domain("a", 16, 20);
    let mut to_c = 0;
    for _ in 0..900 {
        let to = spill(&ask(), &here, 0, &others, &mut rng).unwrap();
        to_c += usize::from(to.as_str() == "c");
    }
    assert!((540..660).contains(&to_c), "{to_c}");
}
