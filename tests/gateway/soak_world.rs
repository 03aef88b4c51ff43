//! Daemons that are killed, frozen, stopped as planned and started again, under load that
//! comes in at all of them, or at one.

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
/// How long after a fault a daemon is excused.
const CONTACT: Duration = Duration::from_secs(3);

/// Returns a number that is given by hand, or another one.
pub fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Daemons under faults before upstreams of one file.
pub struct SoakWorld {
    pub runners: Vec<Runner>,
    daemons: Mutex<Vec<Option<GatewayDaemon>>>,
    routes: String,
    /// Times in which a daemon is excused.
    excused: Mutex<Vec<(usize, Instant, Instant)>>,
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
            excused: Mutex::default(),
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

    /// Returns where a daemon takes clients; none while it is not there.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        let daemons = self.daemons.lock().unwrap();
        daemons[n].as_ref().map(|d| d.clients)
    }

    fn take(&self, n: usize) -> Option<GatewayDaemon> {
        self.daemons.lock().unwrap()[n].take()
    }

    fn excuse(&self, n: usize, from: Instant) {
        let until = Instant::now() + CONTACT;
        self.excused.lock().unwrap().push((n, from, until));
    }

    /// Returns whether a daemon is excused at some moment of a time.
    pub fn is_excused(&self, n: usize, from: Instant, to: Instant) -> bool {
        let excused = self.excused.lock().unwrap();
        let mut excused = excused.iter().filter(|(of, ..)| *of == n);
        excused.any(|(_, began, until)| to >= *began && from < *until)
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

    /// Brings faults about until some time.
    pub async fn faults(&self, seed: u64, until: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa);
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(rng.random_range(300..3_000))).await;
            let n = rng.random_range(0..NAMES.len());
            self.fault(n, &mut rng).await;
        }
    }
}

/// Sends numbered requests to daemons until some time, and waits for their answers.
pub async fn load<F>(seed: u64, until: Instant, fetch: impl Fn(usize, u64) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
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
            asked.spawn(fetch(n, number));
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    asked.join_all().await;
}

/// Returns the upstream that signed an answer.
pub fn upstream_of(answer: &Response) -> Option<usize> {
    let signer = answer.header("saddlepulley-signature").split('.').next();
    signer.and_then(|id| id.strip_prefix('u')?.parse().ok())
}

/// Returns the daemon that an attempt came through.
pub fn daemon_of(attempt: &str) -> Option<usize> {
    attempt.split('-').next()?.parse().ok()
}
