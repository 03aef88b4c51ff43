//! A series of planned operations under load: graceful stops, also of several daemons at once
//! and with repeated signals, SIGHUP, new configurations, and API keys that are removed and
//! added again. Upstreams are healthy and nothing is killed, so each request must receive a
//! complete response.
//!
//! Clients either keep their connections until the daemon's process exits, or open one per
//! request. Half of them check that a kept connection is still open before they reuse it. A
//! request may end without a response only if it was sent after the notice period of a
//! stopping daemon and no upstream has run it.
//!
//! With `SADDLEPULLEY_OLD` set to the binary of another build, every second daemon that is
//! started is of that build. Both builds then run side by side throughout, and daemons are
//! upgraded and rolled back.
//!
//! `SADDLEPULLEY_SOAK_S=60 SADDLEPULLEY_SOAK_SEED=7 SADDLEPULLEY_SOAK_CLIENTS=200
//! SADDLEPULLEY_SOAK_DAEMONS=40 SADDLEPULLEY_SOAK_BUSY=12 SADDLEPULLEY_SOAK_REFUSED=0
//! cargo test --test gateway planned_soak`

use {
    crate::{raw_client::*, support::*},
    futures_util::stream::{FuturesUnordered, StreamExt},
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::runner::Runner,
    std::{
        collections::HashSet,
        env, fs,
        net::SocketAddr,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{task::JoinSet, time::Instant},
};

/// Duration of the soak in seconds unless `SADDLEPULLEY_SOAK_S` is set.
const SHORT_S: u64 = 12;
const SHORT_CLIENTS: u64 = 40;
/// Percentage of requests without a route, or with a key that is unknown or that configuration
/// versions add and remove.
const REFUSED_PERCENT: u64 = 30;
const SHORT_DAEMONS: u64 = 4;
/// One daemon out of this many is stopped at a time.
const DAEMONS_PER_STOP: usize = 8;
const RUNNERS: usize = 3;
/// Events in each response stream of an upstream.
const EVENTS: u64 = 20;
const ROUTES: [&TestRoute; 4] = [&IDEMPOTENT, &ONCE, &STREAM, &STREAM_ONCE];
/// How long a stopping daemon serves all requests that it receives.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_600);
/// How long a load balancer may still send clients to a stopping daemon.
const BALANCER_LAG: Duration = Duration::from_millis(2_200);
const BODY_BYTES: [usize; 3] = [40, 3_000, 400_000];
/// Pause between repeated signals to a stopping daemon.
const SIGNAL_PAUSE: Duration = Duration::from_millis(150);
const UNKNOWN_KEY: &str = "key-0";
/// The key that only odd versions of the configuration contain.
const ROTATED_KEY: &str = "key-2";

fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Processes that keep the processor busy. They are killed when this value is dropped.
struct BusyProcesses(Vec<Child>);

impl BusyProcesses {
    fn start(count: u64) -> Self {
        let spin = || {
            Command::new("sh")
                .args(["-c", "while :; do :; done"])
                .spawn()
        };
        Self((0..count).map(|_| spin().unwrap()).collect())
    }
}

impl Drop for BusyProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A daemon as its clients see it.
#[derive(Clone)]
struct DaemonView {
    name: &'static str,
    address: SocketAddr,
    /// When the first SIGTERM was sent to it.
    signalled_at: Arc<Mutex<Option<Instant>>>,
}

impl DaemonView {
    fn is_running(&self) -> bool {
        self.signalled_at.lock().unwrap().is_none()
    }

    /// Returns true while a load balancer may send clients to it.
    fn accepts_clients(&self) -> bool {
        let at = *self.signalled_at.lock().unwrap();
        at.is_none_or(|at| at.elapsed() < BALANCER_LAG)
    }

    /// Returns true if a request sent at `sent_at` must receive a response.
    fn must_answer(&self, sent_at: Instant) -> bool {
        let at = *self.signalled_at.lock().unwrap();
        at.is_none_or(|at| sent_at < at + NOTICE_PERIOD)
    }
}

/// A fleet of daemons that know each other, and their upstreams.
struct Fleet {
    daemons: Mutex<Vec<(GatewayDaemon, DaemonView)>>,
    runners: Vec<Runner>,
    /// Version of the newest configuration.
    version: AtomicU64,
}

impl Fleet {
    async fn start() -> Arc<Self> {
        let mut runners = Vec::new();
        for n in 0..RUNNERS {
            runners.push(Runner::start(&format!("r{n}"), EVENTS).await.unwrap());
        }
        let fleet = Arc::new(Self {
            daemons: Mutex::default(),
            runners,
            version: AtomicU64::new(1),
        });
        let daemons = from_env("SADDLEPULLEY_SOAK_DAEMONS", SHORT_DAEMONS);
        for n in 0..daemons {
            // Names are leaked: they are used until the end of the test.
            fleet.add(String::leak(format!("n{n}"))).await;
        }
        fleet
    }

    fn routes(&self) -> String {
        let version = self.version.load(Ordering::SeqCst);
        let runners: Vec<&Runner> = self.runners.iter().collect();
        let routes = routes_file(version, &ROUTES, &runners);
        let routes = routes.replace("100000.0", "100000000.0");
        match version % 2 {
            0 => routes.replace(", \"key-2\"", ""),
            _ => routes,
        }
    }

    async fn add(&self, name: &'static str) {
        let seeds = {
            let daemons = self.daemons.lock().unwrap();
            let running = daemons.iter().filter(|(_, view)| view.is_running());
            running.map(|(daemon, _)| daemon.peers).collect()
        };
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("routes.toml");
        fs::write(&path, self.routes()).unwrap();
        let settings = DaemonSettings {
            name,
            source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
            extra_settings: String::new(),
            seeds,
            stdout: Stdio::null(),
        };
        let daemon = GatewayDaemon::spawn(dir, settings);
        daemon.wait_ready().await;
        let view = DaemonView {
            name,
            address: daemon.clients,
            signalled_at: Arc::default(),
        };
        self.daemons.lock().unwrap().push((daemon, view));
    }

    fn choose(&self, rng: &mut ChaCha8Rng) -> Option<DaemonView> {
        let daemons = self.daemons.lock().unwrap();
        let open: Vec<&DaemonView> = daemons.iter().map(|(_, view)| view).collect();
        let open: Vec<&DaemonView> = open.into_iter().filter(|s| s.accepts_clients()).collect();
        open.choose(rng).map(|view| (*view).clone())
    }

    /// Stops a daemon with a series of signals and starts another one in its place. The daemon
    /// remains in the list until it exits, as the load balancer lags behind and clients keep
    /// their connections.
    async fn replace(self: Arc<Self>, signals: u32) {
        let Some((address, name)) = self.begin_stop() else {
            return;
        };
        for n in 1..signals {
            tokio::time::sleep(SIGNAL_PAUSE).await;
            let signal = match n % 2 {
                0 => Signal::SIGHUP,
                _ => Signal::SIGTERM,
            };
            self.with_daemon(address, |daemon| daemon.signal(signal));
        }
        eventually("a graceful stop exits with success", async || {
            let ended = self.with_daemon(address, GatewayDaemon::has_ended);
            assert_ne!(ended, Some(false), "a graceful stop exits with success");
            ended == Some(true)
        })
        .await;
        let is_other = |member: &(GatewayDaemon, DaemonView)| member.1.address != address;
        self.daemons.lock().unwrap().retain(is_other);
        self.add(name).await;
    }

    /// Sends SIGTERM to the first running daemon.
    fn begin_stop(&self) -> Option<(SocketAddr, &'static str)> {
        let daemons = self.daemons.lock().unwrap();
        let mut running = daemons.iter().filter(|(_, view)| view.is_running());
        let (daemon, view) = running.next()?;
        // Taken before the signal, so that the daemon's notice period ends no earlier than the
        // one assumed here.
        *view.signalled_at.lock().unwrap() = Some(Instant::now());
        daemon.signal(Signal::SIGTERM);
        Some((view.address, view.name))
    }

    fn with_daemon<T>(&self, address: SocketAddr, act: impl FnOnce(&mut GatewayDaemon) -> T) -> T {
        let mut daemons = self.daemons.lock().unwrap();
        let mut all = daemons.iter_mut();
        let member = all.find(|(_, view)| view.address == address);
        act(&mut member.expect("a stopping daemon remains in the list").0)
    }

    fn running(&self) -> usize {
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().filter(|(_, view)| view.is_running()).count()
    }

    /// Writes the next version of the configuration for all daemons.
    fn change_config(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
        let routes = self.routes();
        for (daemon, _) in self.daemons.lock().unwrap().iter() {
            let next = daemon.dir.path().join("next.toml");
            fs::write(&next, &routes).unwrap();
            fs::rename(next, daemon.routes_path()).unwrap();
        }
    }

    fn send_sighup(&self) {
        for (daemon, _) in self.daemons.lock().unwrap().iter() {
            daemon.signal(Signal::SIGHUP);
        }
    }
}

/// A request and its outcome.
struct SentRequest {
    request: RawRequest,
    outcome: RequestOutcome,
    /// The request was sent at a time when its daemon had to answer it.
    must_be_answered: bool,
    /// The request was sent on a connection that an earlier request had used.
    reused: bool,
    /// Milliseconds from the daemon's first SIGTERM to the request's last byte.
    after_signal_ms: Option<u128>,
    /// Milliseconds from the request's last byte to its outcome.
    lasted_ms: u128,
}

fn draw_request(rng: &mut ChaCha8Rng, refused: f64) -> RawRequest {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let attempt = format!("p{}", NEXT.fetch_add(1, Ordering::SeqCst));
    let prefix = ROUTES.choose(rng).expect("ROUTES is not empty").prefix;
    let (prefix, key) = match rng.random_bool(refused) {
        false => (prefix, "key-1"),
        true => match rng.random_range(0..3) {
            0 => (prefix, UNKNOWN_KEY),
            1 => (prefix, ROTATED_KEY),
            _ => ("/nowhere/", "key-1"),
        },
    };
    let bytes = match rng.random_range(0..10) {
        0..6 => BODY_BYTES[0],
        6..9 => BODY_BYTES[1],
        _ => BODY_BYTES[2],
    };
    let mut request = RawRequest::new(&attempt, &format!("{prefix}{attempt}"), key, bytes);
    request.in_two_writes = rng.random_bool(0.3);
    request
}

async fn load(
    fleet: Arc<Fleet>,
    seed: u64,
    worker: u64,
    stop: Arc<AtomicBool>,
) -> Vec<SentRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10_000 + worker);
    let refused = from_env("SADDLEPULLEY_SOAK_REFUSED", REFUSED_PERCENT) as f64 / 100.0;
    let (keeps_connection, checks_connection) =
        (!worker.is_multiple_of(4), worker.is_multiple_of(2));
    let mut connection: Option<(RawClient, DaemonView)> = None;
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let pause_ms = match rng.random_range(0..20) {
            0 => rng.random_range(500..4_000),
            _ => rng.random_range(0..60),
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        if checks_connection
            && let Some((client, _)) = &mut connection
            && client.has_ended().await
        {
            connection = None;
        }
        let reused = connection.is_some();
        let (mut client, view) = match connection.take() {
            Some(connection) => connection,
            None => {
                let Some(view) = fleet.choose(&mut rng) else {
                    continue;
                };
                match RawClient::connect(view.address).await {
                    Ok(client) => (client, view),
                    // No request was sent yet: another daemon is chosen.
                    Err(_) => continue,
                }
            }
        };
        let request = draw_request(&mut rng, refused);
        let sent_at = client
            .send(&request)
            .await
            .unwrap_or_else(|_| Instant::now());
        let must_be_answered = view.must_answer(sent_at);
        let outcome = client.answer().await;
        let signalled_at = *view.signalled_at.lock().unwrap();
        let lasted_ms = sent_at.elapsed().as_millis();
        if keeps_connection
            && matches!(
                &outcome,
                RequestOutcome::Answered {
                    says_close: false,
                    ..
                }
            )
        {
            connection = Some((client, view));
        }
        all.push(SentRequest {
            request,
            outcome,
            must_be_answered,
            reused,
            after_signal_ms: signalled_at.map(|at| (sent_at - at).as_millis()),
            lasted_ms,
        });
    }
    all
}

fn events() -> Vec<u8> {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: event {n}\n\n"));
    events.collect::<String>().into_bytes()
}

/// Describes what is wrong with the outcome of a request, if anything is.
fn violation(sent: &SentRequest, was_run: bool) -> Option<&'static str> {
    let RequestOutcome::Answered { status, body, .. } = &sent.outcome else {
        return match (was_run, sent.must_be_answered) {
            (true, _) => Some("was run, but got no complete response"),
            (false, true) => Some("got no complete response"),
            (false, false) => None,
        };
    };
    let is_refused = sent.request.key == UNKNOWN_KEY || sent.request.path.starts_with("/nowhere");
    match status {
        200 if is_refused => Some("was served, but had to be refused"),
        200 if sent.request.path.starts_with("/stream") && *body != events() => {
            Some("got a response that is incomplete or not its own")
        }
        401 | 404 if !is_refused && sent.request.key != ROTATED_KEY => {
            Some("was refused, but had to be served")
        }
        _ => None,
    }
}

/// Stops daemons and changes configurations for `length`.
async fn run_planned_operations(fleet: Arc<Fleet>, seed: u64, length: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 2_000_000);
    let ends = Instant::now() + length;
    let mut stops = FuturesUnordered::new();
    while Instant::now() < ends {
        let pause = tokio::time::sleep(Duration::from_millis(rng.random_range(50..1_200)));
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                Some(()) = stops.next(), if !stops.is_empty() => {}
            }
        }
        let running = fleet.running();
        let at_once = running.div_ceil(DAEMONS_PER_STOP);
        match rng.random_range(0..8) {
            0..3 if running > 1 => {
                let signals = rng.random_range(1..5);
                for _ in 0..at_once {
                    stops.push(fleet.clone().replace(signals));
                }
            }
            3 if running > 2 => {
                for _ in 0..2 * at_once {
                    stops.push(fleet.clone().replace(1));
                }
            }
            4 => fleet.send_sighup(),
            5 => {
                for _ in 0..3 {
                    fleet.change_config();
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            _ => fleet.change_config(),
        }
    }
    while stops.next().await.is_some() {}
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_soak_each_request_gets_a_complete_response() {
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    let length = Duration::from_secs(from_env("SADDLEPULLEY_SOAK_S", SHORT_S));
    let clients = from_env("SADDLEPULLEY_SOAK_CLIENTS", SHORT_CLIENTS);
    let _busy = BusyProcesses::start(from_env("SADDLEPULLEY_SOAK_BUSY", 0));
    let fleet = Fleet::start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut workers = JoinSet::new();
    for worker in 0..clients {
        workers.spawn(load(fleet.clone(), seed, worker, stop.clone()));
    }
    run_planned_operations(fleet.clone(), seed, length).await;
    stop.store(true, Ordering::SeqCst);
    let all: Vec<SentRequest> = workers.join_all().await.into_iter().flatten().collect();

    let runs = fleet.runners.iter().flat_map(Runner::runs);
    let run: HashSet<String> = runs.map(|run| run.attempt).collect();
    let violations: Vec<String> = all
        .iter()
        .filter_map(|sent| {
            let was_run = run.contains(&sent.request.attempt);
            let violation = violation(sent, was_run)?;
            Some(format!(
                "{} {violation}: key {}, body {} B, reused {}, {} ms after SIGTERM, lasted {} ms, {:?}",
                sent.request.path,
                sent.request.key,
                sent.request.body.len(),
                sent.reused,
                sent
                    .after_signal_ms
                    .map_or("-".to_string(), |ms| ms.to_string()),
                sent.lasted_ms,
                match &sent.outcome {
                    RequestOutcome::Answered { status, .. } => format!("status {status}"),
                    other => format!("{other:?}"),
                }
            ))
        })
        .collect();
    let count = |is: fn(&SentRequest) -> bool| all.iter().filter(|sent| is(sent)).count();
    let served = count(|a| a.outcome.status() == Some(200));
    let refused = count(|a| matches!(a.outcome.status(), Some(401 | 404)));
    let unanswered = count(|a| a.outcome.status().is_none());
    println!(
        "seed {seed}: {} requests, {served} served, {refused} refused, {unanswered} unanswered, {} faults",
        all.len(),
        violations.len()
    );
    let shown: Vec<&String> = violations.iter().take(40).collect();
    assert!(
        violations.is_empty(),
        "seed {seed}: {} of {}: {shown:#?}",
        violations.len(),
        all.len()
    );
    assert!(
        served * 2 > all.len(),
        "seed {seed}: {served} of {}",
        all.len()
    );
}
