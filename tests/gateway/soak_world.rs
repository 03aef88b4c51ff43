//! Daemons that are killed, frozen, gracefully stopped and restarted by a seeded schedule,
//! under load that is sent to all of them or to one.

use {
    crate::support::*,
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::runner::Runner,
    std::{
        env,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

const NAMES: [&str; 5] = ["n0", "n1", "n2", "n3", "n4"];
const RUNNERS: usize = 4;
/// How long after a fault a daemon remains exempt from the checks, as it regains contact with
/// the other daemons.
const FAULT_GRACE: Duration = Duration::from_secs(3);

/// Reads a number from an environment variable. Returns `default` if it is unset or no number.
pub fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Daemons under faults, and the upstreams that they read from a file.
pub struct SoakWorld {
    pub runners: Vec<Runner>,
    /// `None` while a daemon is frozen, or stopped and not yet restarted.
    daemons: Mutex<Vec<Option<GatewayDaemon>>>,
    routes: String,
    /// Index of a daemon, and begin and end of a period in which it is exempt from the checks.
    exemptions: Mutex<Vec<(usize, Instant, Instant)>>,
}

impl SoakWorld {
    pub async fn start() -> Arc<Self> {
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
            exemptions: Mutex::default(),
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

    /// Returns the client address of a daemon, `None` while it is frozen or not running.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        let daemons = self.daemons.lock().unwrap();
        daemons[n].as_ref().map(|d| d.clients)
    }

    fn take(&self, n: usize) -> Option<GatewayDaemon> {
        self.daemons.lock().unwrap()[n].take()
    }

    fn exempt(&self, n: usize, from: Instant) {
        let until = Instant::now() + FAULT_GRACE;
        self.exemptions.lock().unwrap().push((n, from, until));
    }

    /// Returns true if a daemon is exempt from the checks at any time between `from` and `to`.
    pub fn is_exempt(&self, n: usize, from: Instant, to: Instant) -> bool {
        let exemptions = self.exemptions.lock().unwrap();
        let mut exemptions = exemptions.iter().filter(|(of, ..)| *of == n);
        exemptions.any(|(_, began, until)| to >= *began && from < *until)
    }

    async fn inject_fault(&self, n: usize, rng: &mut ChaCha8Rng) {
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
                return self.exempt(n, began);
            }
        }
        self.start_daemon(n).await;
        self.exempt(n, began);
    }

    /// Kills, stops and freezes randomly chosen daemons, one at a time, until `until`.
    pub async fn inject_faults(&self, seed: u64, until: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa);
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(rng.random_range(300..3_000))).await;
            let n = rng.random_range(0..NAMES.len());
            self.inject_fault(n, &mut rng).await;
        }
    }
}

/// Sends numbered requests to daemons until `until`, then waits for their responses. `fetch`
/// sends a request, given the index of the daemon and the request's number.
pub async fn load<F>(seed: u64, until: Instant, fetch: impl Fn(usize, u64) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut requests, mut number) = (JoinSet::new(), 0);
    while Instant::now() < until {
        // Each period sends to one daemon, or to all at random.
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
            requests.spawn(fetch(n, number));
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    requests.join_all().await;
}

/// Returns the index of the upstream that signed a response.
pub fn upstream_of(answer: &Response) -> Option<usize> {
    let signer = answer.header("saddlepulley-signature").split('.').next();
    signer.and_then(|id| id.strip_prefix('u')?.parse().ok())
}

/// Returns the index of the daemon that an attempt was sent to.
pub fn daemon_of(attempt: &str) -> Option<usize> {
    attempt.split('-').next()?.parse().ok()
}
