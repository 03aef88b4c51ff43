//! Streams that clients take up after all daemons ended at once. One version served until then, so that
//! where the streams began was known to the daemons only.
//!
//! The failures: where that version was replaced meanwhile, all streams went on at the new one; where a part
//! of its upstreams was replaced, all were refused.

use {crate::stream_world::*, saddlepulley_standin::store::TopicFault, std::time::Duration};

const LOAD: StreamLoad = StreamLoad {
    per_s: 40,
    leaving: 0.0,
    seed: 1,
};
const RECORD: &str = "keyed.service-versions";
const ORIGINS: &str = "stream-origins";

/// How many of the upstreams are replaced by ones of another version while all daemons are down.
#[derive(Clone, Copy)]
enum Replaced {
    None,
    Half,
    All,
}

const UPSTREAMS: usize = 4;
/// Time within which a stream that can't go on is refused.
const AT_ONCE: Duration = Duration::from_secs(1);
/// How long the daemons run before. A record that is younger does not show what served before it.
const RECORD_SETTLES: Duration = Duration::from_secs(5);

/// Kills all daemons while upstreams of one version serve, replaces upstreams, and starts the daemons again
/// after a disturbance of the store.
async fn lose_all_daemons(replaced: Replaced, disturb: impl FnOnce(&StreamWorld)) -> StreamTally {
    let mut world = StreamWorld::start(&["a", "a", "b", "b"], &["v1"; UPSTREAMS]).await;
    tokio::time::sleep(RECORD_SETTLES).await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(3));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    world.kill_all();
    let count = match replaced {
        Replaced::None => 0,
        Replaced::Half => UPSTREAMS / 2,
        Replaced::All => UPSTREAMS,
    };
    for n in 0..count {
        world.withdraw(n);
        world.add_upstream("v2").await;
    }
    disturb(&world);
    world.start_all().await;
    let outcomes = clients.join_all().await;
    let slowest = outcomes.iter().map(|o| o.slowest_refusal).max().unwrap();
    assert!(slowest < AT_ONCE, "refused after {slowest:?}");
    let tally = check(&outcomes);
    assert!(tally.taken_up >= 12, "{tally:?}");
    tally
}

/// Plays a loss with all upstreams replaced, and beside it one with half of them replaced.
async fn lose_all_daemons_twice(
    disturb: impl Fn(&StreamWorld) + Copy,
) -> (StreamTally, StreamTally) {
    tokio::join!(
        lose_all_daemons(Replaced::All, disturb),
        lose_all_daemons(Replaced::Half, disturb)
    )
}

fn assert_all_go_on(tally: &StreamTally) {
    assert_eq!(tally.went_on, tally.taken_up, "{tally:?}");
    assert_eq!(tally.complete, tally.streams, "{tally:?}");
}

fn assert_new_ones_begin(tally: &StreamTally) {
    let begun_before = tally.taken_up;
    assert!(tally.complete >= tally.streams - begun_before, "{tally:?}");
}

/// Lets a topic have a fault for a time from now on.
fn fault_for(world: &StreamWorld, topic: &'static str, fault: TopicFault, time: Duration) {
    world.store.set_topic_fault(topic, Some(fault));
    let store = world.store.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        store.set_topic_fault(topic, None);
    });
}

/// Lets the store return from an older copy; what the operator and the upstreams wrote since is written again.
fn return_from_copy(world: &StreamWorld, age: Duration) {
    let lost = world.store.restore(age);
    world.store.write_again(lost);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_at_a_version_that_was_replaced_while_all_daemons_were_down() {
    let tally = lose_all_daemons(Replaced::All, |_| {}).await;
    assert_new_ones_begin(&tally);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_the_version_that_served_alone_before_all_daemons_were_lost() {
    let tally = lose_all_daemons(Replaced::Half, |_| {}).await;
    assert_all_go_on(&tally);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_the_only_version_after_all_daemons_were_lost() {
    let tally = lose_all_daemons(Replaced::None, |_| {}).await;
    assert_all_go_on(&tally);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_refused_rather_than_guessed_until_the_record_of_versions_is_read() {
    let down = |world: &StreamWorld| {
        fault_for(world, RECORD, TopicFault::Down, Duration::from_secs(2));
    };
    let (all, half) = lose_all_daemons_twice(down).await;
    assert_new_ones_begin(&all);
    assert_all_go_on(&half);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_once_the_log_of_origins_is_back() {
    let down = |world: &StreamWorld| {
        fault_for(world, ORIGINS, TopicFault::Down, Duration::from_secs(2));
    };
    let (all, half) = lose_all_daemons_twice(down).await;
    assert_new_ones_begin(&all);
    assert_all_go_on(&half);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_once_a_slow_log_of_origins_is_read() {
    let slow = |world: &StreamWorld| {
        let fault = TopicFault::Slow(Duration::from_millis(900));
        fault_for(world, ORIGINS, fault, Duration::from_secs(10));
    };
    let (all, half) = lose_all_daemons_twice(slow).await;
    assert_new_ones_begin(&all);
    assert_all_go_on(&half);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_the_only_version_after_a_loss_of_all_daemons_and_a_return_of_the_store() {
    let restore = |world: &StreamWorld| return_from_copy(world, Duration::from_secs(1));
    let ((all, half), none) = tokio::join!(
        lose_all_daemons_twice(restore),
        lose_all_daemons(Replaced::None, restore)
    );
    assert_new_ones_begin(&all);
    assert_new_ones_begin(&half);
    assert_all_go_on(&none);
}

/// The copy from which the store returns is older than the first use of a version: streams began at that one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_do_not_cross_versions_where_the_store_has_lost_that_a_second_one_came() {
    let mut world = StreamWorld::start(&["a", "a", "b", "b"], &["v1"; 2]).await;
    tokio::time::sleep(RECORD_SETTLES).await;
    world.add_upstream("v2").await;
    world.add_upstream("v2").await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(3));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    world.kill_all();
    return_from_copy(&world, Duration::from_secs(4));
    world.start_all().await;
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 12, "{tally:?}");
    assert_new_ones_begin(&tally);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_do_not_cross_versions_where_the_store_has_lost_all_records() {
    let restore = |world: &StreamWorld| return_from_copy(world, Duration::from_secs(60));
    let tally = lose_all_daemons(Replaced::All, restore).await;
    assert_new_ones_begin(&tally);
}
