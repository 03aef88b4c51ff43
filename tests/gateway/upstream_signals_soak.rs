//! Upstreams that refuse requests with a retry time (cooldown), and that announce in their
//! responses that they leave and then restart under their ids, while daemons are under faults.
//!
//! The checks are the guarantees as they are documented for users:
//!
//! - After a daemon has forwarded a response that announces that its upstream leaves, no request
//!   that a client sends to this daemon 2 s later or more reaches that incarnation of the
//!   upstream.
//! - From half a second after an upstream has asked a daemon for a cooldown until the cooldown
//!   ends, at most two requests reach the upstream from that daemon.
//!
//! A daemon that is killed, started, frozen or stopped is exempt. At the end, all upstreams are
//! used again.
//!
//! `SADDLEPULLEY_SOAK_S=30 SADDLEPULLEY_SOAK_SEED=7 cargo test --test gateway
//! upstream_signals_soak`

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

/// Duration of the soak in seconds unless `SADDLEPULLEY_SOAK_S` is set.
const SHORT_S: u64 = 16;
/// Requests sent this long after a daemon forwarded the announcement must not reach the
/// upstream.
const LEAVING_PROPAGATION: Duration = Duration::from_secs(2);
/// Requests that arrive within this time of the refusal may already have been on their way.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Most requests of one daemon that may reach an upstream in its cooldown.
const ALLOWED_IN_COOLDOWN: usize = 2;

/// Requests and responses as the clients saw them.
#[derive(Default)]
struct Observed {
    /// When each attempt was sent.
    sent: HashMap<String, Instant>,
    /// Times at which a daemon forwarded a response that announces that its upstream leaves, by
    /// daemon and upstream.
    leaving: HashMap<(usize, usize), Vec<Instant>>,
}

/// A period in which an upstream gave one signal.
enum UpstreamSignal {
    /// It announced that it leaves, until it restarted.
    Leaves { from: Instant, until: Instant },
    /// It refused requests and asked for a cooldown.
    Cooldown {
        from: Instant,
        until: Instant,
        cooldown: Duration,
    },
}

/// Sends one request, and records the time if its response announces that the upstream leaves.
async fn fetch_once(world: Arc<SoakWorld>, observed: Arc<Mutex<Observed>>, n: usize, number: u64) {
    let Some(to) = world.address(n) else { return };
    let Some(mut client) = Client::connect(to).await else {
        return;
    };
    let attempt = format!("{n}-{number}");
    let sent = Instant::now();
    observed.lock().unwrap().sent.insert(attempt.clone(), sent);
    // A client gets no response if its daemon is killed.
    let Ok(answer) = client.send(request(&attempt, "/look/x"), "").await else {
        return;
    };
    if answer.header("saddlepulley-leaving").is_empty() {
        return;
    }
    if let Some(upstream) = upstream_of(&answer) {
        let leaving = &mut observed.lock().unwrap().leaving;
        leaving
            .entry((n, upstream))
            .or_default()
            .push(Instant::now());
    }
}

/// Lets an upstream give randomly chosen signals until `until`, and returns them.
async fn give_signals(
    world: Arc<SoakWorld>,
    runner: usize,
    seed: u64,
    until: Instant,
) -> Vec<UpstreamSignal> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10 + runner as u64);
    let upstream = &world.runners[runner];
    let mut all = Vec::new();
    let sleep_a_while = async |rng: &mut ChaCha8Rng| {
        let ms = rng.random_range(800..5_000);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    };
    while Instant::now() < until {
        sleep_a_while(&mut rng).await;
        let from = Instant::now();
        match rng.random_range(0..3) {
            0 => {
                upstream.set_leaving(Some("1"));
                sleep_a_while(&mut rng).await;
                let until = Instant::now();
                upstream.set_leaving(None);
                upstream.restart();
                all.push(UpstreamSignal::Leaves { from, until });
            }
            1 => {
                let cooldown_ms = rng.random_range(300..4_000);
                let cooldown = Duration::from_millis(cooldown_ms);
                upstream.set_retry_after(Some(&cooldown.as_secs_f64().to_string()));
                upstream.set_behaviour(Behaviour::Refuse);
                sleep_a_while(&mut rng).await;
                let until = Instant::now();
                upstream.set_behaviour(Behaviour::Serve);
                all.push(UpstreamSignal::Cooldown {
                    from,
                    until,
                    cooldown,
                });
            }
            _ => {}
        }
    }
    all
}

/// Checks the requests that reached one upstream.
struct RunChecker<'a> {
    world: &'a SoakWorld,
    observed: &'a Observed,
    runner: usize,
    /// All requests that reached the upstream, also those that it refused, with their daemons.
    arrived: Vec<(ReceivedRequest, usize)>,
}

impl<'a> RunChecker<'a> {
    fn new(world: &'a SoakWorld, observed: &'a Observed, runner: usize) -> Self {
        let upstream = &world.runners[runner];
        let all = upstream
            .runs()
            .into_iter()
            .chain(upstream.refused_requests());
        let arrived = all.filter_map(|run| Some((run.clone(), daemon_of(&run.attempt)?)));
        Self {
            world,
            observed,
            runner,
            arrived: arrived.collect(),
        }
    }

    /// Describes a request that arrived although its daemon had forwarded the announcement that
    /// this incarnation leaves, if there is one.
    fn after_leaving(&self, from: Instant, until: Instant) -> Option<String> {
        self.arrived.iter().find_map(|(run, n)| {
            let forwarded = self.observed.leaving.get(&(*n, self.runner))?;
            let first = *forwarded.iter().find(|at| **at >= from && **at < until)?;
            let sent = *self.observed.sent.get(&run.attempt)?;
            let is_late = sent >= first + LEAVING_PROPAGATION && run.at < until;
            let counts = is_late && !self.world.is_exempt(*n, first, run.at);
            counts.then(|| {
                format!(
                    "{} sent {:?} after the announcement",
                    run.attempt,
                    sent - first
                )
            })
        })
    }

    /// Returns the most requests that one daemon sent in a cooldown that it was asked for.
    fn most_in_a_cooldown(&self, from: Instant, until: Instant, cooldown: Duration) -> usize {
        let refused_requests = self.world.runners[self.runner].refused_requests();
        let refused = refused_requests
            .iter()
            .filter(|run| run.at >= from && run.at < until);
        let counts = refused.filter_map(|refused| {
            let daemon = daemon_of(&refused.attempt)?;
            let in_cooldown = self.arrived.iter().filter(|(run, n)| {
                *n == daemon
                    && run.at >= refused.at + IN_FLIGHT
                    && run.at < refused.at + cooldown
                    && !self.world.is_exempt(daemon, refused.at, run.at)
            });
            Some(in_cooldown.count())
        });
        counts.max().unwrap_or(0)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_and_cooldown_signals_are_respected_under_faults() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let world = SoakWorld::start().await;
    let observed = Arc::new(Mutex::new(Observed::default()));
    let until = Instant::now() + Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let fetch = {
        let (world, observed) = (world.clone(), observed.clone());
        move |n, number| fetch_once(world.clone(), observed.clone(), n, number)
    };
    let load = tokio::spawn(load(seed, until, fetch.clone()));
    let signal_tasks: Vec<_> = (0..world.runners.len())
        .map(|runner| tokio::spawn(give_signals(world.clone(), runner, seed, until)))
        .collect();
    world.inject_faults(seed, until).await;
    load.await.unwrap();
    let (mut left, mut cooldowns) = (0, 0);
    for (runner, signals) in signal_tasks.into_iter().enumerate() {
        let signals = signals.await.unwrap();
        let observed = observed.lock().unwrap();
        let checker = RunChecker::new(&world, &observed, runner);
        for signal in signals {
            match signal {
                UpstreamSignal::Leaves { from, until } => {
                    let late = checker.after_leaving(from, until);
                    assert!(
                        late.is_none(),
                        "seed {seed}: u{runner} was leaving: {late:?}"
                    );
                    left += 1;
                }
                UpstreamSignal::Cooldown {
                    from,
                    until,
                    cooldown,
                } => {
                    let most = checker.most_in_a_cooldown(from, until, cooldown);
                    let what = format!("{most} requests in a cooldown of {cooldown:?}");
                    assert!(
                        most <= ALLOWED_IN_COOLDOWN,
                        "seed {seed}: u{runner}: {what}"
                    );
                    cooldowns += 1;
                }
            }
        }
    }
    println!("seed {seed}: {left} upstreams left, {cooldowns} cooldowns");
    let over = Instant::now();
    let is_used = |runner: &saddlepulley_standin::runner::Runner| {
        runner.runs().iter().any(|run| run.at >= over)
    };
    let mut number = 1_000_000;
    eventually("all upstreams are used again", async || {
        number += 1_000;
        for n in 0..5 {
            fetch(n, number + n as u64).await;
        }
        world.runners.iter().all(is_used)
    })
    .await;
}
