//! Streams that clients take up after all daemons of one failure domain ended at once, while two software
//! versions serve.
//!
//! The failures: within ten seconds after the second version came, its young streams went on at the first
//! one; later they were refused, though both versions served.

use {
    crate::stream_world::*,
    saddlepulley_standin::store::TopicFault,
    std::{ops::Range, time::Duration},
};

const LOAD: StreamLoad = StreamLoad {
    per_s: 60,
    leaving: 0.0,
    seed: 1,
};
const ORIGINS: &str = "stream-origins";
const DOMAINS: [&str; 6] = ["a", "a", "a", "b", "b", "c"];
/// The daemons of the failure domain in which streams begin, by their place in [`DOMAINS`].
const FIRST_DOMAIN: Range<usize> = 0..3;
const FIRST_TWO_DOMAINS: Range<usize> = 0..5;
/// How long the daemons run before the second version comes. Before, they do not know which version served
/// alone, and infer nothing.
const VERSIONS_KNOWN: Duration = Duration::from_secs(16);
/// Time from the second version's first upstream after which a daemon no longer takes a stream that nobody
/// knows for one of the first version.
const NOTHING_INFERRED: Duration = Duration::from_secs(11);

/// Lets a second version come beside the first one, waits, and lets clients begin streams in one failure
/// domain until its daemons are killed, and others with them, all at once.
async fn lose(lost: Range<usize>, wait: Duration, disturb: impl FnOnce(&StreamWorld)) {
    let mut world = StreamWorld::start(&DOMAINS, &["v1"; 3]).await;
    tokio::time::sleep(VERSIONS_KNOWN).await;
    disturb(&world);
    for _ in 0..3 {
        world.add_upstream("v2").await;
    }
    tokio::time::sleep(wait).await;
    let addresses = Addresses::default();
    let of_domain = |n: usize| world.daemons[NAMES[n]].clients;
    *addresses.lock() = FIRST_DOMAIN.map(of_domain).collect();
    let clients = LOAD.start(&addresses, Duration::from_millis(800));
    tokio::time::sleep(Duration::from_millis(850)).await;
    for n in lost {
        world.kill(n);
    }
    *addresses.lock() = world.addresses.lock().clone();
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 12, "{tally:?}");
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn young_streams_go_on_at_their_version_after_the_loss_of_a_failure_domain() {
    lose(FIRST_DOMAIN, Duration::from_millis(500), |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn young_streams_go_on_at_their_version_after_the_loss_of_two_failure_domains() {
    lose(FIRST_TWO_DOMAINS, Duration::from_millis(500), |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn young_streams_are_not_refused_after_the_loss_of_a_failure_domain() {
    lose(FIRST_DOMAIN, NOTHING_INFERRED, |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_the_loss_of_a_failure_domain_while_the_log_of_origins_is_slow() {
    let slow = |world: &StreamWorld| {
        let fault = TopicFault::Slow(Duration::from_millis(1_500));
        world.store.set_topic_fault(ORIGINS, Some(fault));
    };
    lose(FIRST_DOMAIN, Duration::from_millis(500), slow).await;
}
