//! Announcements of leaving upstreams among daemons.

use saddlepulley::{
    cluster::{LeavingQueue, LeavingToAnnounce},
    names::UpstreamId,
};

fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name)
}

/// Guards against an announcement that is lost with a single datagram, or repeated forever.
#[test]
fn a_leaving_upstream_is_announced_four_times_and_no_more() {
    let mut queue = LeavingQueue::default();
    queue.record(id("a"), true);
    queue.record(id("b"), false);
    for _ in 0..4 {
        assert!(!queue.is_empty());
        let announced = LeavingToAnnounce {
            hubs: vec![id("a")],
            members: vec![id("a"), id("b")],
        };
        assert_eq!(queue.to_announce(9), announced);
    }
    assert!(queue.is_empty());
    assert_eq!(queue.to_announce(9), LeavingToAnnounce::default());
}

/// Guards against leaving upstreams that are never announced because more leave at once than one
/// announcement holds.
#[test]
fn many_upstreams_that_leave_at_once_are_all_announced() {
    let mut queue = LeavingQueue::default();
    for n in 0..100 {
        queue.record(id(&format!("u{n}")), true);
    }
    let mut announced = Vec::new();
    while !queue.is_empty() {
        let next = queue.to_announce(24).hubs;
        assert!(next.len() <= 24);
        announced.extend(next);
    }
    announced.sort_unstable();
    announced.dedup();
    assert_eq!(announced.len(), 100);
}
