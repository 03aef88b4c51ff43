//! What daemons tell each other of upstreams that leave.

use saddlepulley::{
    cluster::{LeavingQueue, LeavingToAnnounce},
    names::UpstreamId,
};

fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name)
}

#[test]
fn news_of_one_that_leaves_are_lost_with_one_datagram_or_told_for_ever() {
    let mut news = LeavingQueue::default();
    news.record(id("a"), true);
    news.record(id("b"), false);
    for _ in 0..4 {
        assert!(!news.is_empty());
        let told = LeavingToAnnounce {
            hubs: vec![id("a")],
            members: vec![id("a"), id("b")],
        };
        assert_eq!(news.to_announce(9), told);
    }
    assert!(news.is_empty());
    assert_eq!(news.to_announce(9), LeavingToAnnounce::default());
}

#[test]
fn many_that_leave_at_once_hide_some_of_them() {
    let mut news = LeavingQueue::default();
    for n in 0..100 {
        news.record(id(&format!("u{n}")), true);
    }
    let mut told = Vec::new();
    while !news.is_empty() {
        let next = news.to_announce(24).hubs;
        assert!(next.len() <= 24);
        told.extend(next);
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 100);
}
