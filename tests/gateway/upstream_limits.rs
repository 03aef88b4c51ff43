//! Upstreams that name in a response header how many requests per second they accept.
//!
//! An upstream that had named a limit of 1 request per second got 14 requests in 4 s from the
//! daemons; 11 were allowed. The daemons ignored the header and placed requests by load alone.
//! An upstream that protects itself by a limit has few requests, so it looks idle and gets more
//! than its share. A single daemon that received the limit with each response still
//! gave the upstream its even share of the load, so the exchange between daemons was not the
//! cause; that case is `a_standalone_daemon_does_not_exceed_a_limit`.

use {
    crate::{file_world::*, support::*},
    http::StatusCode,
    saddlepulley_standin::runner::Runner,
    std::time::{Duration, Instant},
};

/// Time after a limit is first named from which it has to hold.
const HOLDS_AFTER: Duration = Duration::from_secs(3);
/// In each span of this length, an upstream may get at most one and a half times as many requests
/// as its limit allows, plus `SLACK`.
const SPAN: Duration = Duration::from_secs(4);
/// Number of requests by which the bound for a span is raised.
const SLACK: f64 = 5.0;
/// How long requests are sent after a limit has to hold: two spans.
const WATCHED: Duration = Duration::from_secs(8);

/// Returns the maximum number of requests that an upstream got in any span from `from` on.
fn most_in_a_span(world: &FileWorld, runner: usize, from: Instant) -> usize {
    let mut times: Vec<Instant> = world.runners[runner].runs().iter().map(|r| r.at).collect();
    times.retain(|at| *at >= from);
    times.sort();
    let in_span = |first: Instant| {
        let later = times.iter().filter(|at| **at >= first);
        later.filter(|at| **at < first + SPAN).count()
    };
    times.iter().map(|at| in_span(*at)).max().unwrap_or(0)
}

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * SPAN.as_secs_f64() + SLACK) as usize
}

#[tokio::test]
async fn a_standalone_daemon_does_not_exceed_a_limit() {
    let world = FileWorld::start(1, 4).await;
    world.runners[0].set_rate_limit(Some("1"));
    let known = Instant::now() + HOLDS_AFTER;
    let answers = world.load(&[0], 40.0, HOLDS_AFTER + WATCHED).await;
    let most = most_in_a_span(&world, 0, known);
    assert!(most <= allowed(1.0), "{most} in a span");
    // The other upstreams serve the remaining requests.
    assert!(answers.iter().all(|a| a.status == StatusCode::OK));
}

#[tokio::test]
async fn daemons_together_do_not_exceed_a_limit() {
    let world = FileWorld::start(5, 4).await;
    world.runners[0].set_rate_limit(Some("1"));
    world.runners[1].set_rate_limit(Some("2.5"));
    let known = Instant::now() + HOLDS_AFTER;
    let answers = world
        .load(&[0, 1, 2, 3, 4], 60.0, HOLDS_AFTER + WATCHED)
        .await;
    for (runner, per_s) in [(0, 1.0), (1, 2.5)] {
        let most = most_in_a_span(&world, runner, known);
        assert!(most <= allowed(per_s), "u{runner}: {most} in a span");
    }
    assert!(answers.iter().all(|a| a.status == StatusCode::OK));
}

/// A daemon has to respect a limit that only another daemon has received in a response. All load
/// arrives at one daemon first, and then at the other.
#[tokio::test]
async fn a_daemon_does_not_exceed_a_limit_received_by_another() {
    let world = FileWorld::start(2, 2).await;
    for runner in &world.runners {
        runner.set_rate_limit(Some("1"));
    }
    world.load(&[0], 20.0, HOLDS_AFTER).await;
    let moved = Instant::now();
    world.load(&[1], 40.0, Duration::from_secs(2)).await;
    for runner in 0..2 {
        let got = world.runs_since(runner, moved);
        // The limit for 2 s and some slack. Without the announcement of the other daemon,
        // this one learns the limit only from responses to its own first requests, at 40 per
        // second.
        assert!(got <= 5, "u{runner}: {got} requests in 2 s");
    }
}

/// All load arrives at one daemon of five, which queries others for placement. It can still use
/// the limits up, instead of only its own share of them, and requests beyond the limits are
/// refused at once instead of being held.
#[tokio::test]
async fn load_at_one_daemon_is_not_restricted_to_its_share_of_a_limit_nor_held_beyond_it() {
    let per_s = 5.0;
    for at in [0, 4] {
        let world = FileWorld::start(5, 2).await;
        for runner in &world.runners {
            runner.set_rate_limit(Some("5"));
        }
        let known = Instant::now() + HOLDS_AFTER;
        world.load(&[at], 40.0, HOLDS_AFTER).await;
        let answers = world.load(&[at], 40.0, WATCHED).await;
        for runner in 0..2 {
            let most = most_in_a_span(&world, runner, known);
            assert!(most <= allowed(per_s), "u{runner}: {most} in a span");
            let got = world.runs_since(runner, known) as f64;
            let named = per_s * WATCHED.as_secs_f64();
            // With an even share for each daemon, this would be a fifth.
            assert!(got >= 0.7 * named, "u{runner}: {got} of {named}");
        }
        let refused = answers.iter().filter(|a| a.status != StatusCode::OK);
        for answer in refused {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.retry_after_s.is_some_and(|s| s > 0.0));
            assert!(answer.after < Duration::from_secs(1), "{:?}", answer.after);
        }
    }
}

#[tokio::test]
async fn a_limit_does_not_outlast_the_first_response_without_it() {
    let world = FileWorld::start(2, 1).await;
    for limit in ["2", "0"] {
        world.runners[0].set_rate_limit(Some(limit));
        world.load(&[0, 1], 20.0, HOLDS_AFTER).await;
        let named = Instant::now();
        world.load(&[0, 1], 20.0, Duration::from_secs(4)).await;
        let got = world.runs_since(0, named);
        assert!(got <= allowed(2.0), "{got} under a limit of {limit}");
        world.runners[0].set_rate_limit(None);
        eventually("all served again", async || {
            let answers = world.load(&[0, 1], 20.0, Duration::from_millis(500)).await;
            answers.iter().all(|a| a.status == StatusCode::OK)
        })
        .await;
    }
}

/// A service without upstreams has no limit that is used up, and an upstream may be added at any
/// moment. Clients were sent the longest retry time, 5 s, instead of the shortest.
#[tokio::test]
async fn a_service_without_upstreams_does_not_get_the_retry_time_of_a_limit() {
    let runner = Runner::start("u0", 3).await.unwrap();
    let routes = routes_file(1, &[&IDEMPOTENT], &[&runner]);
    let routes = routes.replace("service = \"s\"\naddress", "service = \"other\"\naddress");
    let daemon = GatewayDaemon::start(&routes).await;
    let answer = fetch_once(daemon.clients, "a".into()).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.retry_after_s, Some(0.3));
}

#[tokio::test]
async fn an_invalid_limit_does_not_cause_refusals() {
    let world = FileWorld::start(1, 1).await;
    let long = "9".repeat(300);
    for invalid in [
        "", "-1", "1e-9", "NaN", "inf", "soon", "0x1", "1,5", "1 2", ".", &long,
    ] {
        world.runners[0].set_rate_limit(Some(invalid));
        let answers = world.load(&[0], 20.0, Duration::from_millis(500)).await;
        assert!(
            answers.iter().all(|a| a.status == StatusCode::OK),
            "{invalid}"
        );
    }
}
