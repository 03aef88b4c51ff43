//! Upstreams that refuse requests with 503 and a Retry-After header. The upstream is then in
//! cooldown: daemons have to send it no requests until the named time has passed.

use {
    crate::file_world::*,
    http::StatusCode,
    saddlepulley_standin::runner::{Behaviour, ReceivedRequest, Runner},
    std::time::{Duration, Instant},
};

/// The cooldown that the upstreams name.
const COOLDOWN: Duration = Duration::from_secs(3);
/// Time after a refusal in which requests that were already sent still arrive.
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Number of further requests that may arrive from one daemon during a cooldown.
const ALLOWED: usize = 2;

fn refuse_with_cooldown(runner: &Runner) {
    runner.set_retry_after(Some("3"));
    runner.set_behaviour(Behaviour::Refuse);
}

/// Returns the maximum number of requests from one daemon during a cooldown that it was sent.
fn most_in_a_cooldown(runner: &Runner) -> usize {
    let refused = runner.refused_requests();
    let arrived: Vec<ReceivedRequest> = refused.iter().cloned().chain(runner.runs()).collect();
    let daemon = |run: &ReceivedRequest| run.attempt.split('-').next().map(str::to_string);
    let in_cooldown = |refusal: &ReceivedRequest| {
        let same = arrived.iter().filter(|run| daemon(run) == daemon(refusal));
        let (from, until) = (refusal.at + IN_TRANSIT, refusal.at + COOLDOWN);
        same.filter(|run| run.at >= from && run.at < until).count()
    };
    refused.iter().map(in_cooldown).max().unwrap_or(0)
}

fn check_cooldowns(world: &FileWorld) {
    for runner in &world.runners {
        let most = most_in_a_cooldown(runner);
        assert!(most <= ALLOWED, "{}: {most} in a cooldown", runner.id());
    }
}

#[tokio::test]
async fn a_standalone_daemon_does_not_send_to_upstreams_that_are_all_in_cooldown() {
    let world = FileWorld::start(1, 3).await;
    world.runners.iter().for_each(refuse_with_cooldown);
    world.load(&[0], 60.0, COOLDOWN).await;
    check_cooldowns(&world);
}

#[tokio::test]
async fn daemons_do_not_send_to_upstreams_in_cooldown() {
    let all = [0, 1, 2, 3, 4];
    for in_cooldown in [2, 6] {
        let world = FileWorld::start(5, 6).await;
        world.runners[..in_cooldown]
            .iter()
            .for_each(refuse_with_cooldown);
        let answers = world.load(&all, 80.0, COOLDOWN).await;
        check_cooldowns(&world);
        if in_cooldown == 2 {
            let served = answers
                .iter()
                .filter(|a| a.status == StatusCode::OK)
                .count();
            // Each daemon learns of the cooldown from a refusal, and its retry budget may not
            // cover all the refused requests.
            assert!(
                served * 100 >= answers.len() * 95,
                "{served} of {}",
                answers.len()
            );
        }
    }
}

/// A request that no upstream can serve is refused at once, with the time after which to retry.
#[tokio::test]
async fn a_request_does_not_wait_for_upstreams_that_are_all_in_cooldown() {
    let world = FileWorld::start(1, 2).await;
    world.runners.iter().for_each(refuse_with_cooldown);
    world.load(&[0], 40.0, Duration::from_millis(500)).await;
    let answers = world.load(&[0], 40.0, Duration::from_secs(1)).await;
    for answer in answers {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after_s = answer.retry_after_s.expect("a time");
        // From 0.5 to 1.5 s after the refusals, 1.5 to 2.5 s of the cooldown are left.
        assert!((1.0..=4.0).contains(&retry_after_s), "{retry_after_s}");
        assert!(answer.after < Duration::from_secs(1), "{:?}", answer.after);
    }
}

/// A cooldown that an upstream names does not count as a failure of the upstream. Otherwise it
/// would be avoided for longer than it named.
#[tokio::test]
async fn upstreams_are_not_avoided_after_their_cooldown() {
    let world = FileWorld::start(3, 4).await;
    let all = [0, 1, 2];
    refuse_with_cooldown(&world.runners[0]);
    refuse_with_cooldown(&world.runners[1]);
    world.load(&all, 60.0, COOLDOWN * 2).await;
    for runner in &world.runners {
        runner.set_behaviour(Behaviour::Serve);
    }
    // The last cooldown that an upstream named ends.
    world.load(&all, 60.0, COOLDOWN).await;
    let over = Instant::now();
    world.load(&all, 60.0, Duration::from_secs(2)).await;
    let got: Vec<usize> = (0..4).map(|n| world.runs_since(n, over)).collect();
    let after_cooldown = got[0] + got[1];
    let of_others = got[2] + got[3];
    assert!(after_cooldown * 2 >= of_others, "{got:?}");
}

/// Requests are served as soon as the upstream accepts them again.
#[tokio::test]
async fn an_invalid_retry_time_does_not_start_a_cooldown() {
    let world = FileWorld::start(1, 1).await;
    let long = "9".repeat(300);
    for invalid in [
        "",
        "-1",
        "NaN",
        "inf",
        "soon",
        "Thu, 03 Dec 2026 00:00:00 GMT",
        &long,
    ] {
        world.runners[0].set_retry_after(Some(invalid));
        world.runners[0].set_behaviour(Behaviour::Refuse);
        world.load(&[0], 20.0, Duration::from_millis(300)).await;
        world.runners[0].set_behaviour(Behaviour::Serve);
        let answers = world.load(&[0], 20.0, Duration::from_millis(300)).await;
        assert!(
            answers.iter().all(|a| a.status == StatusCode::OK),
            "{invalid:?}"
        );
    }
}
