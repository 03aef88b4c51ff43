//! Upstreams that announce a rate limit in their responses, change it and withdraw it, while
//! daemons are killed, frozen, gracefully stopped and restarted, under load that is sent to all
//! daemons or to one.
//!
//! The check is the guarantee as it is documented for users: from 3 s after an upstream first
//! announces its limit, it receives in any span of 4 s at most one and a half times the
//! requests that the limit allows, plus 5. This counts requests from daemons that forwarded a
//! response with the limit at least half a second earlier. A daemon that is killed, started,
//! frozen or stopped is exempt until 3 s after that.
//!
//! `SADDLEPULLEY_SOAK_S=30 SADDLEPULLEY_SOAK_SEED=7 cargo test --test gateway limits_soak`

use {
    crate::{soak_world::*, support::*},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Duration of the soak unless `SADDLEPULLEY_SOAK_S` is set.
const SHORT_S: u64 = 16;
/// The limit is checked from this time after an upstream first announces it.
const LIMIT_PROPAGATION: Duration = Duration::from_secs(3);
/// How long before a request its daemon must have forwarded the limit for the request to count.
const FORWARDED_BEFORE: Duration = Duration::from_millis(500);
/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
const LIMITS: [Option<&str>; 6] = [
    None,
    Some("0"),
    Some("0.5"),
    Some("1"),
    Some("4"),
    Some("12.5"),
];
/// An upstream changes its limit after 0.9 to 1.6 times this.
const PERIOD: Duration = Duration::from_secs(8);

/// A period in which an upstream announced a limit.
struct AnnouncedLimit {
    per_s: f64,
    from: Instant,
    until: Instant,
}

/// Times at which a daemon forwarded responses with a limit, by daemon and upstream.
type ForwardedTimes = Arc<Mutex<HashMap<(usize, usize), Vec<Instant>>>>;

/// Sends one request, and records the time if its response has a limit.
async fn fetch_once(world: Arc<SoakWorld>, forwarded: ForwardedTimes, n: usize, number: u64) {
    let Some(to) = world.address(n) else { return };
    let Some(mut client) = Client::connect(to).await else {
        return;
    };
    let attempt = format!("{n}-{number}");
    // A client gets no response if its daemon is killed.
    let Ok(answer) = client.send(request(&attempt, "/look/x"), "").await else {
        return;
    };
    if answer.header("saddlepulley-limit").is_empty() {
        return;
    }
    if let Some(upstream) = upstream_of(&answer) {
        let mut forwarded = forwarded.lock().unwrap();
        forwarded
            .entry((n, upstream))
            .or_default()
            .push(Instant::now());
    }
}

async fn change_limits(
    world: Arc<SoakWorld>,
    runner: usize,
    seed: u64,
    until: Instant,
) -> Vec<AnnouncedLimit> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10 + runner as u64);
    let mut all = Vec::new();
    while Instant::now() < until {
        let limit = *LIMITS.choose(&mut rng).expect("LIMITS is not empty");
        world.runners[runner].set_rate_limit(limit);
        let from = Instant::now();
        tokio::time::sleep(PERIOD.mul_f64(rng.random_range(0.9..1.6))).await;
        if let Some(limit) = limit {
            all.push(AnnouncedLimit {
                per_s: limit.parse().expect("a number"),
                from,
                until: Instant::now(),
            });
        }
    }
    all
}

/// Returns the arrival time and the daemon of each request that counts: its daemon had
/// forwarded a response with this limit and was not exempt.
fn counted_requests(
    world: &SoakWorld,
    forwarded: &ForwardedTimes,
    runner: usize,
    announced: &AnnouncedLimit,
) -> Vec<(Instant, usize)> {
    let forwarded = forwarded.lock().unwrap();
    let counts = |at: Instant, n: usize| {
        let forwarded_at = forwarded.get(&(n, runner));
        let had_forwarded = forwarded_at.is_some_and(|times| {
            let mut times = times.iter();
            times.any(|t| *t >= announced.from && *t + FORWARDED_BEFORE <= at)
        });
        had_forwarded && !world.is_exempt(n, at, at)
    };
    let runs = world.runners[runner].runs();
    let later = runs
        .iter()
        .filter(|run| run.at >= announced.from + LIMIT_PROPAGATION && run.at < announced.until);
    let sent = later.map(|run| (run.at, daemon_of(&run.attempt).unwrap_or(0)));
    let mut counted_requests: Vec<_> = sent.filter(|(at, n)| counts(*at, *n)).collect();
    counted_requests.sort();
    counted_requests
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_under_faults() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let world = SoakWorld::start().await;
    let forwarded = ForwardedTimes::default();
    let until = Instant::now() + Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let fetch = {
        let (world, forwarded) = (world.clone(), forwarded.clone());
        move |n, number| fetch_once(world.clone(), forwarded.clone(), n, number)
    };
    let load = tokio::spawn(load(seed, until, fetch));
    let changes: Vec<_> = (0..world.runners.len())
        .map(|runner| tokio::spawn(change_limits(world.clone(), runner, seed, until)))
        .collect();
    world.inject_faults(seed, until).await;
    load.await.unwrap();
    let (mut spans, mut highest) = (0, (0.0_f64, String::new()));
    for (runner, announced) in changes.into_iter().enumerate() {
        for announced in announced.await.unwrap() {
            let counted_requests = counted_requests(&world, &forwarded, runner, &announced);
            let allowed = 1.5 * announced.per_s * SPAN.as_secs_f64() + 5.0;
            for (from, _) in &counted_requests {
                let in_span = counted_requests.iter();
                let in_span = in_span.filter(|(at, _)| at >= from && *at < *from + SPAN);
                let by: Vec<usize> = in_span.map(|(_, n)| *n).collect();
                let ratio = by.len() as f64 / allowed;
                let since = *from - announced.from;
                let description = format!(
                    "u{runner} announced {} requests/s {since:.1?} earlier; sent by daemons {by:?}",
                    announced.per_s
                );
                assert!(
                    ratio <= 1.0,
                    "seed {seed}: {ratio:.2} of the allowed requests: {description}"
                );
                spans += 1;
                if ratio > highest.0 {
                    highest = (ratio, description);
                }
            }
        }
    }
    let (ratio, description) = highest;
    println!(
        "seed {seed}: {spans} spans, at most {ratio:.2} of the allowed requests: {description}"
    );
}
