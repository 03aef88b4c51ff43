//! Upstreams that turn requests away and name a time for which they want nothing.

use {
    crate::file_world::*,
    http::StatusCode,
    saddlepulley_standin::runner::{Behaviour, Run, Runner},
    std::time::{Duration, Instant},
};

const REST: Duration = Duration::from_secs(3);
/// How long after a refusal requests that were on their way still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// How many more may arrive in the rest from one daemon.
const ALLOWED: usize = 2;

fn turn_away(runner: &Runner) {
    runner.name_rest(Some("3"));
    runner.behave(Behaviour::Refuse);
}

/// Returns the most requests that came from one daemon in a rest that it had been asked for.
fn most_in_a_rest(runner: &Runner) -> usize {
    let refused = runner.turned_away();
    let arrived: Vec<Run> = refused.iter().cloned().chain(runner.runs()).collect();
    let daemon = |run: &Run| run.attempt.split('-').next().map(str::to_string);
    let in_rest = |refusal: &Run| {
        let same = arrived.iter().filter(|run| daemon(run) == daemon(refusal));
        let (from, until) = (refusal.at + ON_ITS_WAY, refusal.at + REST);
        same.filter(|run| run.at >= from && run.at < until).count()
    };
    refused.iter().map(in_rest).max().unwrap_or(0)
}

fn check_rests(world: &FileWorld) {
    for runner in &world.runners {
        let most = most_in_a_rest(runner);
        assert!(most <= ALLOWED, "{}: {most} in a rest", runner.id());
    }
}

#[tokio::test]
async fn one_daemon_alone_sends_more_to_upstreams_that_all_asked_for_rest() {
    let world = FileWorld::start(1, 3).await;
    world.runners.iter().for_each(turn_away);
    world.load(&[0], 60.0, REST).await;
    check_rests(&world);
}

#[tokio::test]
async fn daemons_send_more_to_upstreams_that_asked_them_for_rest() {
    let all = [0, 1, 2, 3, 4];
    for in_cooldown in [2, 6] {
        let world = FileWorld::start(5, 6).await;
        world.runners[..in_cooldown].iter().for_each(turn_away);
        let told = world.load(&all, 80.0, REST).await;
        check_rests(&world);
        if in_cooldown == 2 {
            let served = told.iter().filter(|t| t.status == StatusCode::OK).count();
            // Each daemon learns it by a refusal, and its budget bounds repeats.
            assert!(
                served * 100 >= told.len() * 95,
                "{served} of {}",
                told.len()
            );
        }
    }
}

/// What can't be served is refused at once, with the time after which it can.
#[tokio::test]
async fn a_request_waits_in_vain_for_upstreams_that_all_rest() {
    let world = FileWorld::start(1, 2).await;
    world.runners.iter().for_each(turn_away);
    world.load(&[0], 40.0, Duration::from_millis(500)).await;
    let told = world.load(&[0], 40.0, Duration::from_secs(1)).await;
    for told in told {
        assert_eq!(told.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after_s = told.retry_after_s.expect("a time");
        // From 0.5 to 1.5 s after the refusals 1.5 to 2.5 s of rest are left.
        assert!((1.0..=4.0).contains(&retry_after_s), "{retry_after_s}");
        assert!(told.after < Duration::from_secs(1), "{:?}", told.after);
    }
}

/// The upstream's own word is no failure of it.
#[tokio::test]
async fn upstreams_are_left_out_for_longer_than_they_asked() {
    let world = FileWorld::start(3, 4).await;
    let all = [0, 1, 2];
    turn_away(&world.runners[0]);
    turn_away(&world.runners[1]);
    world.load(&all, 60.0, REST * 2).await;
    for runner in &world.runners {
        runner.behave(Behaviour::Serve);
    }
    // The last rest that was asked for ends.
    world.load(&all, 60.0, REST).await;
    let over = Instant::now();
    world.load(&all, 60.0, Duration::from_secs(2)).await;
    let got: Vec<usize> = (0..4).map(|n| world.runs_since(n, over)).collect();
    let of_rested = got[0] + got[1];
    let of_others = got[2] + got[3];
    assert!(of_rested * 2 >= of_others, "{got:?}");
}

/// It is served as soon as its upstream takes requests again.
#[tokio::test]
async fn what_is_no_time_of_rest_counts_as_one() {
    let world = FileWorld::start(1, 1).await;
    let long = "9".repeat(300);
    for junk in [
        "",
        "-1",
        "NaN",
        "inf",
        "soon",
        "Thu, 03 Dec 2026 00:00:00 GMT",
        &long,
    ] {
        world.runners[0].name_rest(Some(junk));
        world.runners[0].behave(Behaviour::Refuse);
        world.load(&[0], 20.0, Duration::from_millis(300)).await;
        world.runners[0].behave(Behaviour::Serve);
        let told = world.load(&[0], 20.0, Duration::from_millis(300)).await;
        assert!(told.iter().all(|t| t.status == StatusCode::OK), "{junk:?}");
    }
}
