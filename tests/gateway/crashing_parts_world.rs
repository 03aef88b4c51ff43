//! Daemons and upstreams that crash when they begin to answer a prompt with a certain part, and a load
//! of bad requests, of sound ones that share all their other parts, and of others.

use {
    crate::support::*,
    http::{StatusCode, request::Builder},
    nix::sys::signal::Signal,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::runner::{CrashingPart, Runner},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::task::JoinSet,
};

/// Number of upstreams that may crash during requests with a part until it counts as known.
const KNOWN_CRASHES: usize = 5;
/// Time from that crash on within which all daemons in contact hold the part back.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Number of sends of requests with the part that are tolerated after that time.
pub const MAX_LATE_SENDS: usize = 3;
const UPSTREAMS: usize = 12;
/// Events of a stream; one takes 15 ms.
const EVENTS: u64 = 40;
const NAMES: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];

/// A kind of requests and how often they come.
#[derive(Clone, Debug)]
pub struct Load {
    pub name: &'static str,
    pub per_s: f64,
    pub path: &'static str,
    /// For each place in the prompt, the parts of which one is drawn. A last part of its own follows.
    pub parts: Vec<Vec<&'static str>>,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub load: &'static str,
    pub sent_at: Duration,
    pub is_served: bool,
    pub status: Option<StatusCode>,
}

pub struct PartsWorld {
    pub runners: Vec<Runner>,
    pub daemons: BTreeMap<&'static str, GatewayDaemon>,
    pub addresses: Arc<Mutex<Vec<SocketAddr>>>,
    routes: String,
    domains: Vec<&'static str>,
    /// The daemons are in contact with each other.
    in_contact: bool,
    start: Instant,
}

impl PartsWorld {
    /// Starts one daemon in each of the given failure domains, and twelve upstreams.
    pub async fn start(domains: &[&'static str], crashing: &[CrashingPart]) -> Self {
        Self::start_daemons(domains, crashing, true).await
    }

    /// Starts daemons as [`Self::start`] does, none of which is in contact with another one.
    pub async fn start_apart(domains: &[&'static str], crashing: &[CrashingPart]) -> Self {
        Self::start_daemons(domains, crashing, false).await
    }

    async fn start_daemons(
        domains: &[&'static str],
        crashing: &[CrashingPart],
        in_contact: bool,
    ) -> Self {
        let mut runners = Vec::new();
        for n in 0..UPSTREAMS {
            let runner = Runner::start(&format!("b{n}"), EVENTS).await.unwrap();
            runner.set_crashing_parts(crashing.to_vec());
            runners.push(runner);
        }
        let all: Vec<&Runner> = runners.iter().collect();
        let routes = routes_file(1, &[&STREAM, &STREAM_ONCE, &IDEMPOTENT], &all);
        let mut world = Self {
            runners,
            daemons: BTreeMap::new(),
            addresses: Arc::default(),
            routes,
            domains: domains.to_vec(),
            in_contact,
            start: Instant::now(),
        };
        for n in 0..domains.len() {
            world.start_daemon(n).await;
        }
        world.start = Instant::now();
        world
    }

    pub async fn start_daemon(&mut self, n: usize) {
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("routes.toml");
        std::fs::write(&path, &self.routes).unwrap();
        let known = self.daemons.values().filter(|_| self.in_contact);
        let settings = DaemonSettings {
            name: NAMES[n],
            source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
            extra_settings: String::new(),
            seeds: known.map(|d| d.peers).take(3).collect(),
            stdout: crate::store_support::log_file(NAMES[n]),
        };
        let daemon = GatewayDaemon::spawn_in_domain(self.domains[n], &next_build(), dir, settings);
        daemon.wait_ready().await;
        self.addresses.lock().push(daemon.clients);
        self.daemons.insert(NAMES[n], daemon);
    }

    /// Kills a daemon; clients no longer turn to it.
    pub fn kill_daemon(&mut self, n: usize) {
        drop(self.take_daemon(n));
    }

    /// Takes a daemon out, so that clients no longer turn to it.
    pub fn take_daemon(&mut self, n: usize) -> GatewayDaemon {
        let daemon = self.daemons.remove(NAMES[n]).expect("the daemon runs");
        self.addresses.lock().retain(|a| *a != daemon.clients);
        daemon
    }

    pub fn signal(&self, n: usize, signal: Signal) {
        self.daemons[NAMES[n]].signal(signal);
    }

    /// Lets clients turn to one daemon a number of times as often as to each other one.
    pub fn favour(&self, n: usize, times: usize) {
        let favoured = self.daemons[NAMES[n]].clients;
        let all = self.daemons.values().map(|d| d.clients);
        let again = std::iter::repeat_n(favoured, times.saturating_sub(1));
        *self.addresses.lock() = all.chain(again).collect();
    }

    /// Returns the time since the start of the load.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Starts to send a load at any daemon for a time, and returns its outcomes once all have ended.
    pub fn send(&self, loads: &[Load], for_time: Duration, seed: u64) -> JoinSet<Vec<Outcome>> {
        let mut senders = JoinSet::new();
        for (n, load) in loads.iter().enumerate() {
            let rng = ChaCha8Rng::seed_from_u64(seed * 100 + n as u64);
            let addresses = self.addresses.clone();
            senders.spawn(send_load(
                load.clone(),
                addresses,
                self.start,
                for_time,
                rng,
            ));
        }
        senders
    }

    /// Returns when upstreams began to run requests whose prompt holds a part, since the load started.
    pub fn sends_with(&self, part: &str) -> Vec<Duration> {
        let holds_part = |text: &str| {
            let shared = text.rsplit_once(',').map_or("", |(shared, _)| shared);
            shared.split(',').any(|p| p.split(':').next() == Some(part))
        };
        let runs = self.runners.iter().flat_map(Runner::runs);
        let with_part = runs.filter(|run| {
            let text = run.headers.get("saddlepulley-prompt-parts");
            text.is_some_and(|v| holds_part(v.to_str().unwrap_or_default()))
        });
        let mut times: Vec<Duration> = with_part.map(|run| run.at - self.start).collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of sends with a part that came too late: later than `CONTACT` after the fifth,
    /// each of which crashes an upstream.
    pub fn late_sends(&self, part: &str) -> usize {
        let sends = self.sends_with(part);
        let Some(known_at) = sends.get(KNOWN_CRASHES - 1) else {
            return 0;
        };
        let late = sends.iter().filter(|at| **at > *known_at + CONTACT);
        late.count()
    }

    pub fn crashes(&self) -> u64 {
        self.runners.iter().map(Runner::crashes).sum()
    }
}

async fn send_load(
    load: Load,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    start: Instant,
    for_time: Duration,
    mut rng: ChaCha8Rng,
) -> Vec<Outcome> {
    let mut requests = JoinSet::new();
    let end = start.elapsed() + for_time;
    let mut n = 0;
    while start.elapsed() < end {
        let pause = Duration::from_secs_f64(rng.random_range(0.5..1.5) / load.per_s);
        tokio::time::sleep(pause).await;
        let to = addresses.lock().choose(&mut rng).copied();
        let Some(to) = to else { continue };
        let drawn = load.parts.iter().filter_map(|parts| parts.choose(&mut rng));
        let shared: Vec<String> = drawn.map(|id| format!("{id}:100")).collect();
        let attempt = format!("{}-{n}", load.name);
        let parts = format!("{},{:x}:50", shared.join(","), rng.random::<u64>());
        let head = request(&attempt, load.path)
            .header("saddlepulley-prompt-parts", parts)
            .header("saddlepulley-token-count", "350,80");
        requests.spawn(send_one(to, head, attempt, load.name, start.elapsed()));
        n += 1;
    }
    requests.join_all().await
}

async fn send_one(
    to: SocketAddr,
    head: Builder,
    body: String,
    load: &'static str,
    sent_at: Duration,
) -> Outcome {
    let answer = async { Client::connect(to).await?.send(head, &body).await.ok() }.await;
    Outcome {
        load,
        sent_at,
        is_served: answer
            .as_ref()
            .is_some_and(|a| a.status.is_success() && a.complete),
        status: answer.map(|a| a.status),
    }
}

/// Returns the share of a load's requests in a period that were served.
///
/// # Panics
///
/// Panics if there are fewer than 20 of them.
pub fn served_share(outcomes: &[Outcome], load: &str, from: Duration, to: Duration) -> f64 {
    let period = from..to;
    let sent = outcomes
        .iter()
        .filter(|o| o.load == load && period.contains(&o.sent_at));
    let (mut all, mut served) = (0, 0);
    for outcome in sent {
        all += 1;
        served += usize::from(outcome.is_served);
    }
    assert!(all >= 20, "{all} of {load}");
    served as f64 / all as f64
}
