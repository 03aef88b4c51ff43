//! Streams that clients take up after all daemons ended at once during a change of versions: the upstreams of the
//! former version have just left, or serve on beside those of the new one.
//!
//! The failure that another operator reported, and that these tests rule out: such streams were joined from two versions.

use {
    crate::stream_world::*,
    std::{ops::Range, time::Duration},
};

const LOAD: StreamLoad = StreamLoad {
    per_s: 60,
    leaving: 0.1,
    seed: 1,
};
const DOMAINS: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
const UPSTREAMS: usize = 3;
/// How long the daemons run before. A record that is younger does not show what served before it.
const RECORD_SETTLES: Duration = Duration::from_secs(5);
/// How long the daemons are down.
const DOWN_TIME: Duration = Duration::from_millis(800);
const BETWEEN: Duration = Duration::from_millis(2_500);

/// Lets upstreams of a version come in place of others, and kills all daemons some time after that.
async fn lose_all_in_release(
    world: &mut StreamWorld,
    version: &str,
    leaving: Range<usize>,
    wait: Duration,
) {
    for _ in 0..UPSTREAMS {
        world.add_upstream(version).await;
    }
    leaving.clone().for_each(|n| world.drain_one(n));
    tokio::time::sleep(wait).await;
    for n in leaving {
        world.withdraw(n);
        world.upstreams[n].crash();
    }
    world.kill_all();
    tokio::time::sleep(DOWN_TIME).await;
    world.start_all().await;
    tokio::time::sleep(BETWEEN).await;
}

/// Plays three changes of versions in a row, with a loss of all daemons in each.
async fn lose_all_in_releases(wait: Duration) -> StreamTally {
    let mut world = StreamWorld::start(&DOMAINS, &["v1"; UPSTREAMS]).await;
    tokio::time::sleep(RECORD_SETTLES).await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(14));
    tokio::time::sleep(Duration::from_secs(1)).await;
    lose_all_in_release(&mut world, "v2", 0..3, wait).await;
    lose_all_in_release(&mut world, "v3", 3..6, wait).await;
    // The upstreams of the third version serve on.
    lose_all_in_release(&mut world, "v4", 6..6, wait).await;
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 36, "{tally:?}");
    assert!(tally.complete > tally.streams / 2, "{tally:?}");
    tally
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_joined_where_all_daemons_are_lost_as_a_version_comes() {
    lose_all_in_releases(Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_joined_where_all_daemons_are_lost_after_a_version_has_left() {
    lose_all_in_releases(Duration::from_millis(700)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_a_loss_of_all_daemons_while_both_versions_serve_on() {
    let mut world = StreamWorld::start(&DOMAINS, &["v1"; UPSTREAMS]).await;
    tokio::time::sleep(RECORD_SETTLES).await;
    let clients = LOAD.start(&world.addresses, Duration::from_secs(4));
    tokio::time::sleep(Duration::from_secs(1)).await;
    lose_all_in_release(&mut world, "v2", 0..0, Duration::from_millis(700)).await;
    let tally = check(&clients.join_all().await);
    assert!(tally.taken_up >= 12, "{tally:?}");
    assert!(tally.went_on * 2 > tally.taken_up, "{tally:?}");
}
