//! Parts of prompts that crash the upstreams that begin to answer them.
//!
//! The failure: each request with a certain part crashed the upstreams that ran it, but daemons counted
//! crashes by whole requests, and no two of these were alike. So the part was never held back.

use {
    crate::crashing_parts_world::*,
    saddlepulley_standin::runner::{CrashingPart, Runner},
    std::time::Duration,
};

const ONE_DOMAIN: [&str; 6] = ["a"; 6];
const PLAY: Duration = Duration::from_secs(12);
/// Time from the start of the load on at which the parts are held back and all upstreams are up again.
const CALM: Duration = Duration::from_secs(8);
/// Part of the usual share at which sound requests have to be served while bad ones still come.
const MIN_SERVED: f64 = 0.5;

fn crashing(id: &str, delay_ms: u64) -> CrashingPart {
    CrashingPart {
        id: id.into(),
        before_head: false,
        inside_event: false,
        delay: Duration::from_millis(delay_ms),
    }
}

fn load(name: &'static str, per_s: f64, parts: &[&[&'static str]]) -> Load {
    Load {
        name,
        per_s,
        path: "/stream/once/x",
        parts: parts.iter().map(|p| p.to_vec()).collect(),
    }
}

/// Bad requests beside sound ones that share their client account and all their other parts, and others.
fn loads(bad_per_s: f64) -> Vec<Load> {
    let first = &["f1", "f2", "f3"][..];
    vec![
        load("bad", bad_per_s, &[first, &["bad"]]),
        load("same", 40.0, &[first, &["s1", "s2", "s3", "s4"]]),
        load("others", 24.0, &[&["o1", "o2"], &["s5", "s6"]]),
    ]
}

/// Plays loads, and checks that the bad parts are held back in time and nothing else is.
async fn check(domains: &[&'static str], crashing: &[CrashingPart], loads: &[Load]) {
    let world = PartsWorld::start(domains, crashing).await;
    let outcomes = world.send(loads, PLAY, 1).join_all().await.concat();
    check_outcomes(&world, crashing, loads, &outcomes);
}

fn check_outcomes(
    world: &PartsWorld,
    crashing: &[CrashingPart],
    loads: &[Load],
    outcomes: &[Outcome],
) {
    for part in crashing {
        let (late, all) = (world.late_sends(&part.id), world.sends_with(&part.id).len());
        let crashes = world.crashes();
        assert!(
            late <= MAX_LATE_SENDS,
            "{}: {late} sends too late of {all}, {crashes} crashes",
            part.id
        );
    }
    for load in loads.iter().filter(|l| !l.name.starts_with("bad")) {
        let share = served_share(outcomes, load.name, CALM, PLAY);
        assert!(share >= MIN_SERVED, "{}: {share:.3} served", load.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_part_that_crashes_upstreams_is_held_back_by_all_daemons() {
    check(&ONE_DOMAIN, &[crashing("bad", 250)], &loads(10.0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_part_that_crashes_upstreams_is_held_back_by_all_daemons() {
    let mut loads = loads(10.0);
    loads[0].parts.swap(0, 1);
    check(&ONE_DOMAIN, &[crashing("bad", 50)], &loads).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_crashes_upstreams_before_the_head_is_held_back() {
    let crashing = CrashingPart {
        before_head: true,
        ..crashing("bad", 50)
    };
    check(&ONE_DOMAIN, &[crashing], &loads(10.0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_crashes_upstreams_of_resumable_streams_is_held_back() {
    let mut loads = loads(10.0);
    for load in &mut loads {
        load.path = "/stream/resume/x";
    }
    check(&ONE_DOMAIN, &[crashing("bad", 100)], &loads).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_is_held_back_whose_answers_end_with_their_connection() {
    let crashing = [CrashingPart {
        inside_event: true,
        ..crashing("bad", 100)
    }];
    let world = PartsWorld::start(&ONE_DOMAIN, &crashing).await;
    world.runners.iter().for_each(Runner::set_unframed);
    let loads = loads(10.0);
    let outcomes = world.send(&loads, PLAY, 1).join_all().await.concat();
    check_outcomes(&world, &crashing, &loads, &outcomes);
}

/// Guards against parts held back in vain: an answer that a crash cut off looked whole to a daemon that was not told.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_a_crash_cut_off_clear_no_part_at_a_daemon_that_was_not_told_of_the_crash() {
    let crashing = [CrashingPart {
        inside_event: true,
        ..crashing("bad", 100)
    }];
    let world = PartsWorld::start_apart(&["a"; 3], &crashing).await;
    world.runners.iter().for_each(Runner::set_unframed);
    let loads = loads(20.0);
    let outcomes = world.send(&loads, PLAY, 1).join_all().await.concat();
    let sends = world.sends_with("bad");
    let late = sends.iter().filter(|at| **at > CALM).count();
    assert!(late <= MAX_LATE_SENDS, "{late} late of {}", sends.len());
    for load in ["same", "others"] {
        let share = served_share(&outcomes, load, CALM, PLAY);
        assert!(share >= MIN_SERVED, "{load}: {share:.3} served");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_parts_that_crash_upstreams_at_once_are_both_held_back() {
    let mut loads = loads(6.0);
    let mut other = loads[0].clone();
    (other.name, other.parts[1]) = ("bad too", vec!["bad too"]);
    loads.push(other);
    let crashing = [crashing("bad", 100), crashing("bad too", 300)];
    check(&ONE_DOMAIN, &crashing, &loads).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rare_part_that_crashes_upstreams_is_held_back() {
    let mut loads = loads(0.5);
    loads[0].path = "/stream/resume/x";
    let crashing = [crashing("bad", 200)];
    let world = PartsWorld::start(&ONE_DOMAIN, &crashing).await;
    let outcomes = world.send(&loads, 2 * PLAY, 1).join_all().await.concat();
    check_outcomes(&world, &crashing, &loads, &outcomes);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_crashes_upstreams_late_is_held_back() {
    check(&ONE_DOMAIN, &[crashing("bad", 550)], &loads(4.0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_crashes_upstreams_is_held_back_in_all_failure_domains() {
    let domains = ["a", "a", "a", "b", "b", "b"];
    check(&domains, &[crashing("bad", 100)], &loads(10.0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_part_that_all_requests_share_is_not_held_back_with_a_bad_second_one() {
    let loads = [
        load("bad", 10.0, &[&["f"], &["bad"]]),
        load("same", 40.0, &[&["f"], &["s1", "s2", "s3", "s4"]]),
    ];
    check(&ONE_DOMAIN, &[crashing("bad", 100)], &loads).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_that_start_later_hold_a_crashing_part_back() {
    let crashing = [crashing("bad", 100)];
    let mut world = PartsWorld::start(&ONE_DOMAIN, &crashing).await;
    let loads = loads(10.0);
    let senders = world.send(&loads, PLAY, 2);
    for n in [0, 3] {
        tokio::time::sleep(Duration::from_secs(2)).await;
        world.kill_daemon(n);
        tokio::time::sleep(Duration::from_secs(1)).await;
        world.start_daemon(n).await;
    }
    let outcomes = senders.join_all().await.concat();
    check_outcomes(&world, &crashing, &loads, &outcomes);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_by_chance_hold_no_part_back() {
    let world = PartsWorld::start(&ONE_DOMAIN, &[]).await;
    let loads = loads(10.0);
    let senders = world.send(&loads, PLAY, 3);
    let mut n = 0;
    while world.now() < PLAY {
        tokio::time::sleep(Duration::from_millis(200)).await;
        n += 5;
        world.runners[n % world.runners.len()].restart();
    }
    let outcomes = senders.join_all().await.concat();
    let is_held = |o: &&Outcome| o.status == Some(http::StatusCode::SERVICE_UNAVAILABLE);
    let held = outcomes.iter().filter(is_held).count();
    assert!(world.crashes() > 40, "{} crashes", world.crashes());
    assert!(held * 100 <= outcomes.len(), "{held} of {}", outcomes.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_daemon_holds_a_crashing_part_back() {
    check(&["a"], &[crashing("bad", 100)], &loads(10.0)).await;
}
