//! Upstreams that turn requests away and ask for rest, that say in their answers that they
//! leave, end and start again under their ids, before daemons under faults.
//!
//! Checked as it is stated for users. Later than 2 s after a daemon has passed on an answer
//! that says that its upstream leaves, no request that a client sends from then on reaches
//! that life of the upstream from that daemon. Between half a second after an upstream has
//! asked a daemon for rest and the end of that time, at most two requests reach it from that
//! daemon. A kill, start, freeze or stop of the daemon excuses it. In the end, all upstreams
//! are used again.
//!
//! `SADDLEPULLEY_SOAK_S=30 SADDLEPULLEY_SOAK_SEED=7 cargo test --test gateway words_soak`

use {
    crate::{soak_world::*, support::*},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::runner::{Behaviour, ReceivedRequest},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

const SHORT_S: u64 = 16;
const LEFT_WITHIN: Duration = Duration::from_secs(2);
const ON_ITS_WAY: Duration = Duration::from_millis(500);
const ALLOWED_IN_REST: usize = 2;

/// What clients saw.
#[derive(Default)]
struct Seen {
    /// When each attempt was sent.
    sent: HashMap<String, Instant>,
    /// When a daemon had passed on an answer of an upstream that says that it leaves.
    leaving: HashMap<(usize, usize), Vec<Instant>>,
}

/// A time in which an upstream said one thing of itself.
enum Said {
    /// That it leaves, until it ended.
    Leaves { from: Instant, until: Instant },
    /// That it wants so much rest.
    Rest {
        from: Instant,
        until: Instant,
        rest: Duration,
    },
}

async fn ask_once(world: Arc<SoakWorld>, seen: Arc<Mutex<Seen>>, n: usize, number: u64) {
    let Some(to) = world.address(n) else { return };
    let Some(mut client) = Client::connect(to).await else {
        return;
    };
    let attempt = format!("{n}-{number}");
    let sent = Instant::now();
    seen.lock().unwrap().sent.insert(attempt.clone(), sent);
    // One whose daemon is killed gets none.
    let Ok(answer) = client.send(request(&attempt, "/look/x"), "").await else {
        return;
    };
    if answer.header("saddlepulley-leaving").is_empty() {
        return;
    }
    if let Some(upstream) = upstream_of(&answer) {
        let leaving = &mut seen.lock().unwrap().leaving;
        leaving
            .entry((n, upstream))
            .or_default()
            .push(Instant::now());
    }
}

async fn change_words(
    world: Arc<SoakWorld>,
    runner: usize,
    seed: u64,
    until: Instant,
) -> Vec<Said> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10 + runner as u64);
    let upstream = &world.runners[runner];
    let mut all = Vec::new();
    let a_while = async |rng: &mut ChaCha8Rng| {
        let ms = rng.random_range(800..5_000);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    };
    while Instant::now() < until {
        a_while(&mut rng).await;
        let from = Instant::now();
        match rng.random_range(0..3) {
            0 => {
                upstream.set_leaving(Some("1"));
                a_while(&mut rng).await;
                let until = Instant::now();
                upstream.set_leaving(None);
                upstream.restart();
                all.push(Said::Leaves { from, until });
            }
            1 => {
                let rest_ms = rng.random_range(300..4_000);
                let rest = Duration::from_millis(rest_ms);
                upstream.set_retry_after(Some(&rest.as_secs_f64().to_string()));
                upstream.set_behaviour(Behaviour::Refuse);
                a_while(&mut rng).await;
                let until = Instant::now();
                upstream.set_behaviour(Behaviour::Serve);
                all.push(Said::Rest { from, until, rest });
            }
            _ => {}
        }
    }
    all
}

struct RunChecker<'a> {
    world: &'a SoakWorld,
    seen: &'a Seen,
    runner: usize,
    /// All that came to the upstream.
    arrived: Vec<(ReceivedRequest, usize)>,
}

impl<'a> RunChecker<'a> {
    fn new(world: &'a SoakWorld, seen: &'a Seen, runner: usize) -> Self {
        let upstream = &world.runners[runner];
        let all = upstream
            .runs()
            .into_iter()
            .chain(upstream.refused_requests());
        let arrived = all.filter_map(|run| Some((run.clone(), daemon_of(&run.attempt)?)));
        Self {
            world,
            seen,
            runner,
            arrived: arrived.collect(),
        }
    }

    /// Returns a request that came although its daemon had passed on that this life leaves.
    fn after_leaving(&self, from: Instant, until: Instant) -> Option<String> {
        self.arrived.iter().find_map(|(run, n)| {
            let passed_on = self.seen.leaving.get(&(*n, self.runner))?;
            let first = *passed_on.iter().find(|at| **at >= from && **at < until)?;
            let sent = *self.seen.sent.get(&run.attempt)?;
            let is_late = sent >= first + LEFT_WITHIN && run.at < until;
            let counts = is_late && !self.world.is_excused(*n, first, run.at);
            counts.then(|| format!("{} {:?} after it", run.attempt, sent - first))
        })
    }

    /// Returns the most requests that came from one daemon in a rest that it was asked for.
    fn most_in_a_rest(&self, from: Instant, until: Instant, rest: Duration) -> usize {
        let refused_requests = self.world.runners[self.runner].refused_requests();
        let asked = refused_requests
            .iter()
            .filter(|run| run.at >= from && run.at < until);
        let counts = asked.filter_map(|asked| {
            let daemon = daemon_of(&asked.attempt)?;
            let in_rest = self.arrived.iter().filter(|(run, n)| {
                *n == daemon
                    && run.at >= asked.at + ON_ITS_WAY
                    && run.at < asked.at + rest
                    && !self.world.is_excused(daemon, asked.at, run.at)
            });
            Some(in_rest.count())
        });
        counts.max().unwrap_or(0)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_upstreams_say_of_themselves_is_heeded_under_faults() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let world = SoakWorld::start().await;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let until = Instant::now() + Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let ask = {
        let (world, seen) = (world.clone(), seen.clone());
        move |n, number| ask_once(world.clone(), seen.clone(), n, number)
    };
    let load = tokio::spawn(load(seed, until, ask.clone()));
    let words: Vec<_> = (0..world.runners.len())
        .map(|runner| tokio::spawn(change_words(world.clone(), runner, seed, until)))
        .collect();
    world.faults(seed, until).await;
    load.await.unwrap();
    let (mut left, mut rested) = (0, 0);
    for (runner, said) in words.into_iter().enumerate() {
        let said = said.await.unwrap();
        let seen = seen.lock().unwrap();
        let checker = RunChecker::new(&world, &seen, runner);
        for said in said {
            match said {
                Said::Leaves { from, until } => {
                    let late = checker.after_leaving(from, until);
                    assert!(late.is_none(), "seed {seed}: u{runner} left: {late:?}");
                    left += 1;
                }
                Said::Rest { from, until, rest } => {
                    let most = checker.most_in_a_rest(from, until, rest);
                    let what = format!("{most} requests in a rest of {rest:?}");
                    assert!(most <= ALLOWED_IN_REST, "seed {seed}: u{runner}: {what}");
                    rested += 1;
                }
            }
        }
    }
    println!("seed {seed}: {left} times left, {rested} times rested");
    let over = Instant::now();
    let is_used = |runner: &saddlepulley_standin::runner::Runner| {
        runner.runs().iter().any(|run| run.at >= over)
    };
    let mut number = 1_000_000;
    eventually("all are used again", async || {
        number += 1_000;
        for n in 0..5 {
            ask(n, number + n as u64).await;
        }
        world.runners.iter().all(is_used)
    })
    .await;
}
