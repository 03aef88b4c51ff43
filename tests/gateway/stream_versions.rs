//! Streams of a service whose upstreams run several software versions: what two versions write does
//! not fit together, so that a stream goes on only at the version that began it.
//!
//! The failures: with two versions side by side, half of all streams that were taken up again went on at
//! the other one, whether a daemon moved them inside an answer or a client came to another daemon.

use {
    crate::{stream_world::*, versioned_upstream::EVENTS},
    nix::sys::signal::Signal,
    std::time::Duration,
    tokio::task::JoinSet,
};

const TWO_VERSIONS: [&str; 8] = ["v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2"];
const LOAD: StreamLoad = StreamLoad {
    per_s: 40,
    leaving: 0.0,
    seed: 1,
};
const LEAVING: StreamLoad = StreamLoad {
    leaving: 0.6,
    ..LOAD
};

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_break_off_go_on_at_their_version_inside_the_answer() {
    let world = StreamWorld::start(&["a", "b"], &TWO_VERSIONS).await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(4));
    for n in [0, 3, 4] {
        tokio::time::sleep(Duration::from_millis(900)).await;
        world.upstreams[n].crash();
    }
    let tally = check(&clients.join_all().await);
    assert_eq!(tally.complete, tally.streams, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_clients_take_up_at_any_daemon_go_on_at_their_version() {
    let world = StreamWorld::start(&["a", "a", "a", "a", "b"], &TWO_VERSIONS).await;
    let clients = LEAVING.start(&world.addresses, Duration::from_secs(4));
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up > tally.streams / 3, "{tally:?}");
    assert_eq!(tally.complete, tally.streams, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_killed_daemons_go_on_at_their_version() {
    let mut world = StreamWorld::start(&["a", "a", "a", "a", "b", "b"], &TWO_VERSIONS).await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(5));
    for n in [0, 4, 2] {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        world.kill(n);
    }
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 10, "{tally:?}");
    assert_eq!(tally.complete, tally.streams, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_their_version_after_all_daemons_were_killed() {
    let mut world = StreamWorld::start(&["a", "a", "b"], &TWO_VERSIONS).await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(3));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    world.kill_all();
    world.start_all().await;
    let outcomes = clients.join_all().await;
    let tally = check(&outcomes);
    assert!(tally.taken_up >= 12, "{tally:?}");
    // Streams that began right before the end of all daemons may be known to nobody.
    assert!(tally.went_on * 2 > tally.taken_up, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_began_before_the_second_version_came_go_on_at_the_first() {
    let mut world = StreamWorld::start(&["a", "a", "b"], &["v1"; 3]).await;
    let clients = LEAVING.start(&world.addresses, Duration::from_secs(4));
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(700)).await;
        world.add_upstream("v2").await;
    }
    let tally = check(&clients.join_all().await);
    assert_eq!(tally.complete, tally.streams, "{tally:?}");
}

/// Guards against streams at two versions: a daemon that was frozen missed a version that came meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_frozen_does_not_go_by_the_versions_that_it_saw_before() {
    let mut world = StreamWorld::start(&["a", "b", "b", "b"], &["v1"; 2]).await;
    world.daemons["n0"].signal(Signal::SIGSTOP);
    for n in 0..2 {
        world.withdraw(n);
        world.add_upstream("v2").await;
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let addresses = Addresses::default();
    addresses.lock().push(world.daemons["n1"].clients);
    let clients = LOAD.start(&addresses, Duration::from_millis(500));
    tokio::time::sleep(Duration::from_millis(600)).await;
    *addresses.lock() = vec![world.daemons["n0"].clients];
    world.kill(1);
    tokio::time::sleep(Duration::from_millis(400)).await;
    world.daemons["n0"].signal(Signal::SIGCONT);
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 8, "{tally:?}");
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_version_has_left_are_refused_at_once_and_not_moved() {
    let world = StreamWorld::start(&["a", "a", "a", "b"], &TWO_VERSIONS).await;
    let mut clients = JoinSet::new();
    for seed in 0..24 {
        let client = StreamClient::new(&world.addresses, seed).leaving_after(18);
        clients.spawn(client.run());
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    world.drain("v1");
    let outcomes = clients.join_all().await;
    check(&outcomes);
    let is_v1 = |o: &&StreamOutcome| o.first_version.as_deref() == Some("v1");
    let (of_v1, others): (Vec<_>, Vec<_>) = outcomes.iter().partition(is_v1);
    assert!(of_v1.iter().any(|o| o.refused > 0));
    assert!(others.iter().all(|o| o.is_complete()));
    let slowest = outcomes.iter().map(|o| o.slowest_refusal).max().unwrap();
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_with_streams_of_a_version_with_few_upstreams_are_served_like_new_ones() {
    let mut versions = vec!["v2"; 10];
    versions.extend(["v1", "v1"]);
    let world = StreamWorld::start(&["a", "a", "a", "b"], &versions).await;
    let clients = LEAVING.start(&world.addresses, Duration::from_secs(4));
    let tally = check(&clients.join_all().await);
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
    assert_eq!(tally.complete, tally.streams, "{tally:?}");
}

/// Clients leave after four events, and take their streams up with the id of an attempt that never was.
async fn run_naming_an_unknown_attempt(world: &StreamWorld) -> Vec<StreamOutcome> {
    let mut clients = JoinSet::new();
    for seed in 0..6 {
        let client = StreamClient::new(&world.addresses, seed).leaving_after(4);
        clients.spawn(client.naming("0123456789abcdef").run());
    }
    clients.join_all().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_an_attempt_that_nobody_knows_is_not_guessed_between_versions() {
    let world = StreamWorld::start(&["a", "a", "b"], &TWO_VERSIONS).await;
    for outcome in run_naming_an_unknown_attempt(&world).await {
        assert_eq!(outcome.last, 4, "{outcome:?}");
        assert!(outcome.refused > 0, "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_an_attempt_that_nobody_knows_goes_on_at_the_only_version() {
    let mut world = StreamWorld::start(&["a", "a", "b"], &["v1"; 3]).await;
    // In the first seconds of a fleet such a stream may have begun before it.
    for outcome in run_naming_an_unknown_attempt(&world).await {
        assert_eq!(outcome.last, 4, "{outcome:?}");
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    for outcome in run_naming_an_unknown_attempt(&world).await {
        assert_eq!(outcome.last, EVENTS, "{outcome:?}");
    }
    world.kill(0);
    world.start_daemon(0).await;
    let client = StreamClient::new(&world.addresses, 9).leaving_after(4);
    assert_eq!(client.run().await.last, EVENTS);
}
