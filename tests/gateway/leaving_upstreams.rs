//! Upstreams that say in a response header that they leave, while the source of upstreams still
//! lists them as ready.

use {
    crate::{file_world::*, support::*},
    http::StatusCode,
    std::time::{Duration, Instant},
};

/// Time after the first response that says so within which requests may still be sent there.
const LEFT_WITHIN: Duration = Duration::from_secs(2);
/// How long the upstream is observed after that.
const WATCHED: Duration = Duration::from_secs(2);

fn all_served(answers: &[ClientResponse]) -> bool {
    answers.iter().all(|a| a.status == StatusCode::OK)
}

#[tokio::test]
async fn a_standalone_daemon_does_not_send_to_an_upstream_that_says_it_leaves() {
    let world = FileWorld::start(1, 4).await;
    world.runners[0].set_leaving(Some("1"));
    let before = world.load(&[0], 40.0, LEFT_WITHIN).await;
    let left = Instant::now();
    let after = world.load(&[0], 40.0, WATCHED).await;
    assert_eq!(world.runs_since(0, left), 0);
    assert!(all_served(&before) && all_served(&after));
}

/// The daemon that receives the response may be a member, while its hub places the requests.
#[tokio::test]
async fn daemons_do_not_send_to_upstreams_that_say_they_leave() {
    let world = FileWorld::start(5, 4).await;
    world.runners[0].set_leaving(Some("1"));
    world.runners[1].set_leaving(Some("1"));
    let all = [0, 1, 2, 3, 4];
    let before = world.load(&all, 60.0, LEFT_WITHIN).await;
    let left = Instant::now();
    let after = world.load(&all, 60.0, WATCHED).await;
    for runner in 0..2 {
        assert_eq!(world.runs_since(runner, left), 0, "u{runner}");
    }
    assert!(all_served(&before) && all_served(&after));
}

/// A request sent to a leaving upstream may fail when the upstream exits, whichever daemon sends
/// it. So all daemons have to know what one of them received.
#[tokio::test]
async fn daemons_do_not_send_to_an_upstream_that_announced_leaving_to_another_daemon() {
    let world = FileWorld::start(5, 2).await;
    world.runners[0].set_leaving(Some("1"));
    for at in [4, 0] {
        world.load(&[at], 20.0, LEFT_WITHIN).await;
    }
    let left = Instant::now();
    let answers = world.load(&[1, 2, 3], 40.0, WATCHED).await;
    assert_eq!(world.runs_since(0, left), 0);
    assert!(all_served(&answers));
}

/// With a routes file as source, only the absence of the header shows that the upstream is a new
/// incarnation.
#[tokio::test]
async fn an_upstream_that_left_and_restarted_is_used_again() {
    let world = FileWorld::start(2, 2).await;
    world.runners[0].set_leaving(Some("1"));
    world.load(&[0, 1], 40.0, LEFT_WITHIN).await;
    world.runners[0].set_leaving(None);
    world.runners[0].restart();
    let restarted = Instant::now();
    eventually("used again", async || {
        world.load(&[0, 1], 40.0, Duration::from_millis(500)).await;
        world.runs_since(0, restarted) > 0
    })
    .await;
}

#[tokio::test]
async fn header_values_other_than_1_do_not_mark_an_upstream_as_leaving() {
    let world = FileWorld::start(1, 2).await;
    for value in ["", "0", "no", "true", "11"] {
        world.runners[0].set_leaving(Some(value));
        let said = Instant::now();
        let answers = world.load(&[0], 40.0, Duration::from_millis(500)).await;
        assert!(world.runs_since(0, said) > 0, "{value:?}");
        assert!(all_served(&answers));
    }
}

/// A request that no upstream can serve is refused at once.
#[tokio::test]
async fn the_last_upstream_gets_no_requests_after_it_says_it_leaves() {
    let world = FileWorld::start(1, 1).await;
    world.runners[0].set_leaving(Some("1"));
    world.load(&[0], 20.0, LEFT_WITHIN).await;
    let left = Instant::now();
    let answers = world.load(&[0], 20.0, WATCHED).await;
    assert_eq!(world.runs_since(0, left), 0);
    for answer in answers {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.retry_after_s.is_some_and(|s| s > 0.0));
        assert!(answer.after < Duration::from_secs(1), "{:?}", answer.after);
    }
}
