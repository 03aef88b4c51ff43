//! Upstreams that name limits, change them and name none by turns, before daemons that are
//! killed, frozen, stopped as planned and started again, under load that comes in at all of
//! them, or at one.
//!
//! Checked as it is stated for users: from 3 s after an upstream first named its limit, it
//! gets in no span of 4 s more than one and a half times what that allows, and 5 requests,
//! of those daemons that had passed on an answer with a limit half a second before or
//! earlier. A kill, start, freeze or stop of a daemon excuses it until 3 s after.
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

const SHORT_S: u64 = 16;
const TOLD_WITHIN: Duration = Duration::from_secs(3);
const PASSED_ON: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_secs(4);
const LIMITS: [Option<&str>; 6] = [
    None,
    Some("0"),
    Some("0.5"),
    Some("1"),
    Some("4"),
    Some("12.5"),
];
/// For how long an upstream names the same.
const PERIOD: Duration = Duration::from_secs(8);

/// A time in which an upstream named a limit.
struct Named {
    per_s: f64,
    from: Instant,
    until: Instant,
}

/// When a daemon passed on answers with a limit of an upstream.
type PassedOn = Arc<Mutex<HashMap<(usize, usize), Vec<Instant>>>>;

/// Asks once, and notes what limit the answer names.
async fn ask_once(world: Arc<SoakWorld>, passed_on: PassedOn, n: usize, number: u64) {
    let Some(to) = world.address(n) else { return };
    let Some(mut client) = Client::connect(to).await else {
        return;
    };
    let attempt = format!("{n}-{number}");
    // One whose daemon is killed gets none.
    let Ok(answer) = client.send(request(&attempt, "/look/x"), "").await else {
        return;
    };
    if answer.header("saddlepulley-limit").is_empty() {
        return;
    }
    if let Some(upstream) = upstream_of(&answer) {
        let mut passed_on = passed_on.lock().unwrap();
        passed_on
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
) -> Vec<Named> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10 + runner as u64);
    let mut all = Vec::new();
    while Instant::now() < until {
        let limit = *LIMITS.choose(&mut rng).expect("there are some");
        world.runners[runner].set_rate_limit(limit);
        let from = Instant::now();
        tokio::time::sleep(PERIOD.mul_f64(rng.random_range(0.9..1.6))).await;
        if let Some(limit) = limit {
            all.push(Named {
                per_s: limit.parse().expect("a number"),
                from,
                until: Instant::now(),
            });
        }
    }
    all
}

/// Returns when requests came that count: of daemons that had passed on an answer with
/// this limit, and that were not excused.
fn counted(
    world: &SoakWorld,
    passed_on: &PassedOn,
    runner: usize,
    named: &Named,
) -> Vec<(Instant, usize)> {
    let passed_on = passed_on.lock().unwrap();
    let counts = |at: Instant, n: usize| {
        let told = passed_on.get(&(n, runner));
        let had_told = told.is_some_and(|times| {
            let mut times = times.iter();
            times.any(|t| *t >= named.from && *t + PASSED_ON <= at)
        });
        had_told && !world.is_excused(n, at, at)
    };
    let runs = world.runners[runner].runs();
    let later = runs
        .iter()
        .filter(|run| run.at >= named.from + TOLD_WITHIN && run.at < named.until);
    let sent = later.map(|run| (run.at, daemon_of(&run.attempt).unwrap_or(0)));
    let mut counted: Vec<_> = sent.filter(|(at, n)| counts(*at, *n)).collect();
    counted.sort();
    counted
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_under_faults() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let world = SoakWorld::start().await;
    let passed_on = PassedOn::default();
    let until = Instant::now() + Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let ask = {
        let (world, passed_on) = (world.clone(), passed_on.clone());
        move |n, number| ask_once(world.clone(), passed_on.clone(), n, number)
    };
    let load = tokio::spawn(load(seed, until, ask));
    let changes: Vec<_> = (0..world.runners.len())
        .map(|runner| tokio::spawn(change_limits(world.clone(), runner, seed, until)))
        .collect();
    world.faults(seed, until).await;
    load.await.unwrap();
    let (mut spans, mut fullest) = (0, (0.0_f64, String::new()));
    for (runner, named) in changes.into_iter().enumerate() {
        for named in named.await.unwrap() {
            let counted = counted(&world, &passed_on, runner, &named);
            let allowed = 1.5 * named.per_s * SPAN.as_secs_f64() + 5.0;
            for (from, _) in &counted {
                let in_span = counted.iter();
                let in_span = in_span.filter(|(at, _)| at >= from && *at < *from + SPAN);
                let by: Vec<usize> = in_span.map(|(_, n)| *n).collect();
                let part = by.len() as f64 / allowed;
                let since = *from - named.from;
                let what = format!(
                    "u{runner} named {}, {since:.1?} before; by {by:?}",
                    named.per_s
                );
                assert!(
                    part <= 1.0,
                    "seed {seed}: {part:.2} of what is allowed: {what}"
                );
                spans += 1;
                if part > fullest.0 {
                    fullest = (part, what);
                }
            }
        }
    }
    let (part, what) = fullest;
    println!("seed {seed}: {spans} spans, {part:.2} of what is allowed at most: {what}");
}
