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
    crate::support::*,
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::runner::Runner,
    std::{
        collections::HashMap,
        env,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

const SHORT_S: u64 = 16;
const NAMES: [&str; 5] = ["n0", "n1", "n2", "n3", "n4"];
const RUNNERS: usize = 4;
const TOLD_WITHIN: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);
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

fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// A time in which an upstream named a limit.
struct Named {
    per_s: f64,
    from: Instant,
    until: Instant,
}

/// What clients and the test itself saw.
#[derive(Default)]
struct Record {
    /// When a daemon passed on an answer with a limit of an upstream, first in a while.
    passed_on: HashMap<(usize, usize), Vec<Instant>>,
    /// Times in which a daemon is excused.
    excused: Vec<(usize, Instant, Instant)>,
}

struct World {
    runners: Vec<Runner>,
    daemons: Mutex<Vec<Option<GatewayDaemon>>>,
    routes: String,
    record: Mutex<Record>,
}

impl World {
    async fn start() -> Arc<Self> {
        let mut runners = Vec::new();
        for n in 0..RUNNERS {
            runners.push(Runner::start(&format!("u{n}"), 3).await.unwrap());
        }
        let all: Vec<&Runner> = runners.iter().collect();
        let routes = routes_file(1, &[&IDEMPOTENT], &all);
        let world = Arc::new(Self {
            runners,
            daemons: Mutex::new(NAMES.iter().map(|_| None).collect()),
            routes,
            record: Mutex::default(),
        });
        for n in 0..NAMES.len() {
            world.start_daemon(n).await;
        }
        world
    }

    async fn start_daemon(&self, n: usize) {
        let seeds = {
            let daemons = self.daemons.lock().unwrap();
            daemons.iter().flatten().map(|d| d.peers).collect()
        };
        let daemon = GatewayDaemon::spawn_on_file(NAMES[n], &self.routes, seeds);
        daemon.wait_ready().await;
        self.daemons.lock().unwrap()[n] = Some(daemon);
    }

    fn address(&self, n: usize) -> Option<SocketAddr> {
        let daemons = self.daemons.lock().unwrap();
        daemons[n].as_ref().map(|d| d.clients)
    }

    fn take(&self, n: usize) -> Option<GatewayDaemon> {
        self.daemons.lock().unwrap()[n].take()
    }

    fn excuse(&self, n: usize, from: Instant) {
        let until = Instant::now() + CONTACT;
        self.record.lock().unwrap().excused.push((n, from, until));
    }

    async fn fault(&self, n: usize, rng: &mut ChaCha8Rng) {
        let began = Instant::now();
        let Some(mut daemon) = self.take(n) else {
            return;
        };
        match rng.random_range(0..3) {
            0 => drop(daemon),
            1 => {
                daemon.signal(Signal::SIGTERM);
                daemon.wait_end().await;
            }
            _ => {
                daemon.signal(Signal::SIGSTOP);
                let frozen_ms = rng.random_range(200..2_500);
                tokio::time::sleep(Duration::from_millis(frozen_ms)).await;
                daemon.signal(Signal::SIGCONT);
                self.daemons.lock().unwrap()[n] = Some(daemon);
                return self.excuse(n, began);
            }
        }
        self.start_daemon(n).await;
        self.excuse(n, began);
    }
}

/// Asks once, and notes what limit the answer names.
async fn ask_once(world: Arc<World>, n: usize, number: u64) {
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
    let upstream = answer.header("saddlepulley-signature").split('.').next();
    let upstream = upstream.and_then(|id| id.strip_prefix('u')?.parse().ok());
    if let Some(upstream) = upstream {
        let mut record = world.record.lock().unwrap();
        let times = record.passed_on.entry((n, upstream)).or_default();
        times.push(Instant::now());
    }
}

async fn load(world: Arc<World>, seed: u64, until: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut asked, mut number) = (JoinSet::new(), 0);
    while Instant::now() < until {
        // All at one daemon, or at all.
        let one = rng.random_range(0..NAMES.len());
        let at_one = rng.random_bool(0.5);
        let pause_ms = rng.random_range(8..60);
        let change = Instant::now() + Duration::from_millis(rng.random_range(500..4_000));
        while Instant::now() < change.min(until) {
            let n = match at_one {
                true => one,
                false => rng.random_range(0..NAMES.len()),
            };
            number += 1;
            asked.spawn(ask_once(world.clone(), n, number));
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    asked.join_all().await;
}

async fn faults(world: Arc<World>, seed: u64, until: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa);
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_range(300..3_000))).await;
        let n = rng.random_range(0..NAMES.len());
        world.fault(n, &mut rng).await;
    }
}

async fn change_limits(world: Arc<World>, runner: usize, seed: u64, until: Instant) -> Vec<Named> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10 + runner as u64);
    let mut all = Vec::new();
    while Instant::now() < until {
        let limit = *LIMITS.choose(&mut rng).expect("there are some");
        world.runners[runner].name_limit(limit);
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

impl World {
    /// Returns when requests came that count: of daemons that had passed on an answer with
    /// this limit, and that were not excused.
    fn counted(&self, runner: usize, named: &Named) -> Vec<(Instant, usize)> {
        let record = self.record.lock().unwrap();
        let counts = |at: Instant, n: usize| {
            let told = record.passed_on.get(&(n, runner));
            let had_told = told.is_some_and(|times| {
                let mut times = times.iter();
                times.any(|t| *t >= named.from && *t + PASSED_ON <= at)
            });
            let mut excused = record.excused.iter().filter(|(of, ..)| *of == n);
            had_told && !excused.any(|(_, from, until)| at >= *from && at < *until)
        };
        let runs = self.runners[runner].runs();
        let later = runs
            .iter()
            .filter(|run| run.at >= named.from + TOLD_WITHIN && run.at < named.until);
        let daemon = |attempt: &str| attempt.split('-').next().and_then(|n| n.parse().ok());
        let sent = later.map(|run| (run.at, daemon(&run.attempt).unwrap_or(0)));
        let mut counted: Vec<_> = sent.filter(|(at, n)| counts(*at, *n)).collect();
        counted.sort();
        counted
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_under_faults() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let world = World::start().await;
    let until = Instant::now() + Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let load = tokio::spawn(load(world.clone(), seed, until));
    let changes: Vec<_> = (0..RUNNERS)
        .map(|runner| tokio::spawn(change_limits(world.clone(), runner, seed, until)))
        .collect();
    faults(world.clone(), seed, until).await;
    load.await.unwrap();
    let (mut spans, mut fullest) = (0, (0.0_f64, String::new()));
    for (runner, named) in changes.into_iter().enumerate() {
        for named in named.await.unwrap() {
            let counted = world.counted(runner, &named);
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
