//! Streams that clients take up at a daemon which hears none of the others, within ten seconds after a second
//! software version came.
//!
//! The failure: streams of the second version, whose origins only the silent daemons knew, went on at the first one.

use {
    crate::stream_world::*, nix::sys::signal::Signal, saddlepulley_standin::store::TopicFault,
    std::time::Duration,
};

const LOAD: StreamLoad = StreamLoad {
    per_s: 100,
    leaving: 0.0,
    seed: 1,
};
const DOMAINS: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
/// The daemon that is out of step, and the one at which the streams begin.
const OUT_OF_STEP: usize = 0;
const FIRST: usize = 2;
/// All other daemons.
const OTHERS: [usize; 4] = [1, 3, 4, 5];
/// How long the daemons run before, until they know which version served alone.
const VERSIONS_KNOWN: Duration = Duration::from_secs(16);
/// The shared log answers more slowly than streams begin, so that it lacks the youngest.
const SLOW_LOG: Duration = Duration::from_millis(400);
const SILENCE: Duration = Duration::from_millis(1_500);
const UPSTREAMS: usize = 3;

/// What else happens to the daemon that hears none of the others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Before {
    /// It has seen the second version come.
    InStep,
    /// It stood still when the second version came.
    Frozen,
    /// It stood still when the second version came and the first one left.
    FrozenWhileOneLeft,
}

/// Lets streams begin at one daemon, which ends, and take them up at another one, which no other daemon
/// answers until later.
async fn take_up_unheard(before: Before) -> StreamTally {
    let mut world = StreamWorld::start(&DOMAINS, &["v1"; UPSTREAMS]).await;
    tokio::time::sleep(VERSIONS_KNOWN).await;
    let fault = TopicFault::Slow(SLOW_LOG);
    world.store.set_topic_fault("stream-origins", Some(fault));
    if before != Before::InStep {
        signal(&world, &[OUT_OF_STEP], Signal::SIGSTOP);
    }
    for n in 0..UPSTREAMS {
        world.add_upstream("v2").await;
        if before == Before::FrozenWhileOneLeft {
            world.withdraw(n);
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let addresses = Addresses::default();
    addresses.lock().push(world.daemons[NAMES[FIRST]].clients);
    let clients = LOAD.start(&addresses, Duration::from_millis(800));
    tokio::time::sleep(Duration::from_millis(850)).await;
    signal(&world, &OTHERS, Signal::SIGSTOP);
    world.kill(FIRST);
    *addresses.lock() = vec![world.daemons[NAMES[OUT_OF_STEP]].clients];
    signal(&world, &[OUT_OF_STEP], Signal::SIGCONT);
    tokio::time::sleep(SILENCE).await;
    signal(&world, &OTHERS, Signal::SIGCONT);
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 12, "{tally:?}");
    tally
}

fn signal(world: &StreamWorld, numbers: &[usize], signal: Signal) {
    for n in numbers {
        world.daemons[NAMES[*n]].signal(signal);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_hears_no_other_does_not_guess_where_young_streams_began() {
    let tally = take_up_unheard(Before::InStep).await;
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_wakes_and_hears_no_other_does_not_go_by_the_version_that_it_saw_before() {
    let tally = take_up_unheard(Before::Frozen).await;
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_wakes_after_a_version_left_does_not_join_another_one_to_it() {
    let tally = take_up_unheard(Before::FrozenWhileOneLeft).await;
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
}

/// Guards against refusals: a daemon that hears no other one may trust the record of versions.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_the_only_version_at_a_daemon_that_hears_no_other() {
    let mut world = StreamWorld::start(&DOMAINS, &["v1"; UPSTREAMS]).await;
    tokio::time::sleep(VERSIONS_KNOWN).await;
    let addresses = Addresses::default();
    addresses.lock().push(world.daemons[NAMES[FIRST]].clients);
    let clients = LOAD.start(&addresses, Duration::from_millis(800));
    tokio::time::sleep(Duration::from_millis(850)).await;
    signal(&world, &OTHERS, Signal::SIGSTOP);
    world.kill(FIRST);
    *addresses.lock() = vec![world.daemons[NAMES[OUT_OF_STEP]].clients];
    let tally = check(&clients.join_all().await);
    signal(&world, &OTHERS, Signal::SIGCONT);
    assert!(tally.taken_up >= 12, "{tally:?}");
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
}
