//! Planned work in series, under load: stops, also of several daemons at once
//! and with repeated signals, SIGHUP, new configurations, keys that are
//! withdrawn and given back. Upstreams are sound and nothing is killed, so that
//! each request has to be answered whole.
//!
//! Clients keep their connections until the daemon's process is gone, or open
//! one a request; half of them look whether a connection has ended before they
//! ask again. What may end without an answer is just this: a request sent after
//! a stop's notice was over, which no upstream has run.
//!
//! With `SADDLEPULLEY_OLD` naming the binary of a landed build, each second daemon that is
//! started is of that one: both stand side by side all the time, and boxes roll forward and
//! back.
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

const SHORT_S: u64 = 12;
const SHORT_CLIENTS: u64 = 40;
/// The share of requests that have no route, or a key that is unknown or turns.
const REFUSED_PERCENT: u64 = 30;
const SHORT_DAEMONS: u64 = 4;
/// Of how many daemons one is stopped at a time.
const DAEMONS_PER_STOP: usize = 8;
const RUNNERS: usize = 3;
const EVENTS: u64 = 20;
const ROUTES: [&TestRoute; 4] = [&IDEMPOTENT, &ONCE, &STREAM, &STREAM_ONCE];
/// For how long a daemon that stops serves whatever comes.
const NOTICE: Duration = Duration::from_millis(2_600);
/// For how long a balancer may still send clients to a daemon that stops.
const BALANCER_LAG: Duration = Duration::from_millis(2_200);
const BODY_BYTES: [usize; 3] = [40, 3_000, 400_000];
const SIGNAL_PAUSE: Duration = Duration::from_millis(150);
const UNKNOWN_KEY: &str = "key-0";
/// The key that versions of the configuration hold by turns.
const TURNING_KEY: &str = "key-2";

fn from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Processes that only use processor time.
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

/// A daemon, as its clients know it.
#[derive(Clone)]
struct Seen {
    name: &'static str,
    address: SocketAddr,
    signalled_at: Arc<Mutex<Option<Instant>>>,
}

impl Seen {
    fn runs(&self) -> bool {
        self.signalled_at.lock().unwrap().is_none()
    }

    fn takes_clients(&self) -> bool {
        let at = *self.signalled_at.lock().unwrap();
        at.is_none_or(|at| at.elapsed() < BALANCER_LAG)
    }

    /// Returns whether a request sent by then had to be answered.
    fn owes(&self, sent_at: Instant) -> bool {
        let at = *self.signalled_at.lock().unwrap();
        at.is_none_or(|at| sent_at < at + NOTICE)
    }
}

/// The daemons; all know each other.
struct Fleet {
    daemons: Mutex<Vec<(GatewayDaemon, Seen)>>,
    runners: Vec<Runner>,
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
            // Daemons of the test live as long as it.
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
            let running = daemons.iter().filter(|(_, seen)| seen.runs());
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
        let seen = Seen {
            name,
            address: daemon.clients,
            signalled_at: Arc::default(),
        };
        self.daemons.lock().unwrap().push((daemon, seen));
    }

    fn choose(&self, rng: &mut ChaCha8Rng) -> Option<Seen> {
        let daemons = self.daemons.lock().unwrap();
        let open: Vec<&Seen> = daemons.iter().map(|(_, seen)| seen).collect();
        let open: Vec<&Seen> = open.into_iter().filter(|s| s.takes_clients()).collect();
        open.choose(rng).map(|seen| (*seen).clone())
    }

    /// Stops a daemon, with signals in series, and starts one in its place.
    /// Meanwhile it stays in the list: the balancer lags, and its clients keep
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
        eventually("a planned stop ends well", async || {
            let ended = self.with_daemon(address, GatewayDaemon::has_ended);
            assert_ne!(ended, Some(false), "a planned stop ends well");
            ended == Some(true)
        })
        .await;
        let is_other = |member: &(GatewayDaemon, Seen)| member.1.address != address;
        self.daemons.lock().unwrap().retain(is_other);
        self.add(name).await;
    }

    /// Sends SIGTERM to the first daemon that runs.
    fn begin_stop(&self) -> Option<(SocketAddr, &'static str)> {
        let daemons = self.daemons.lock().unwrap();
        let mut running = daemons.iter().filter(|(_, seen)| seen.runs());
        let (daemon, seen) = running.next()?;
        // Before the signal: the notice is over no earlier than reckoned with.
        *seen.signalled_at.lock().unwrap() = Some(Instant::now());
        daemon.signal(Signal::SIGTERM);
        Some((seen.address, seen.name))
    }

    fn with_daemon<T>(&self, address: SocketAddr, act: impl FnOnce(&mut GatewayDaemon) -> T) -> T {
        let mut daemons = self.daemons.lock().unwrap();
        let mut all = daemons.iter_mut();
        let member = all.find(|(_, seen)| seen.address == address);
        act(&mut member.expect("one that stops stays in the list").0)
    }

    fn running(&self) -> usize {
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().filter(|(_, seen)| seen.runs()).count()
    }

    /// Puts another version of the configuration in force everywhere.
    fn change_config(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
        let routes = self.routes();
        for (daemon, _) in self.daemons.lock().unwrap().iter() {
            let next = daemon.dir.path().join("next.toml");
            fs::write(&next, &routes).unwrap();
            fs::rename(next, daemon.routes_path()).unwrap();
        }
    }

    fn hang_up(&self) {
        for (daemon, _) in self.daemons.lock().unwrap().iter() {
            daemon.signal(Signal::SIGHUP);
        }
    }
}

/// A request and how it ended.
struct Asked {
    request: RawRequest,
    ending: RequestOutcome,
    /// Whether it was sent at a time at which it had to be answered.
    is_owed: bool,
    kept: bool,
    /// The milliseconds between the signal and the request's last byte.
    after_signal_ms: Option<u128>,
    /// The milliseconds between the request's last byte and the end.
    lasted_ms: u128,
}

fn draw_request(rng: &mut ChaCha8Rng, refused: f64) -> RawRequest {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let attempt = format!("p{}", NEXT.fetch_add(1, Ordering::SeqCst));
    let prefix = ROUTES.choose(rng).expect("there are routes").prefix;
    let (prefix, key) = match rng.random_bool(refused) {
        false => (prefix, "key-1"),
        true => match rng.random_range(0..3) {
            0 => (prefix, UNKNOWN_KEY),
            1 => (prefix, TURNING_KEY),
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

async fn load(fleet: Arc<Fleet>, seed: u64, worker: u64, stop: Arc<AtomicBool>) -> Vec<Asked> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 10_000 + worker);
    let refused = from_env("SADDLEPULLEY_SOAK_REFUSED", REFUSED_PERCENT) as f64 / 100.0;
    let (keeps, looks) = (!worker.is_multiple_of(4), worker.is_multiple_of(2));
    let mut connection: Option<(RawClient, Seen)> = None;
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let rest_ms = match rng.random_range(0..20) {
            0 => rng.random_range(500..4_000),
            _ => rng.random_range(0..60),
        };
        tokio::time::sleep(Duration::from_millis(rest_ms)).await;
        if looks
            && let Some((client, _)) = &mut connection
            && client.has_ended().await
        {
            connection = None;
        }
        let kept = connection.is_some();
        let (mut client, seen) = match connection.take() {
            Some(connection) => connection,
            None => {
                let Some(seen) = fleet.choose(&mut rng) else {
                    continue;
                };
                match RawClient::connect(seen.address).await {
                    Ok(client) => (client, seen),
                    // Nothing was asked yet: another daemon is asked.
                    Err(_) => continue,
                }
            }
        };
        let request = draw_request(&mut rng, refused);
        let sent_at = client
            .send(&request)
            .await
            .unwrap_or_else(|_| Instant::now());
        let is_owed = seen.owes(sent_at);
        let ending = client.answer().await;
        let signalled_at = *seen.signalled_at.lock().unwrap();
        let lasted_ms = sent_at.elapsed().as_millis();
        if keeps
            && matches!(
                &ending,
                RequestOutcome::Answered {
                    says_close: false,
                    ..
                }
            )
        {
            connection = Some((client, seen));
        }
        all.push(Asked {
            request,
            ending,
            is_owed,
            kept,
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

/// Says what is wrong with how a request ended, if anything is.
fn fault(asked: &Asked, was_run: bool) -> Option<&'static str> {
    let RequestOutcome::Answered { status, body, .. } = &asked.ending else {
        return match (was_run, asked.is_owed) {
            (true, _) => Some("was run, and ended without a whole answer"),
            (false, true) => Some("ended without a whole answer"),
            (false, false) => None,
        };
    };
    let is_refused = asked.request.key == UNKNOWN_KEY || asked.request.path.starts_with("/nowhere");
    match status {
        200 if is_refused => Some("was served, though it may not"),
        200 if asked.request.path.starts_with("/stream") && *body != events() => {
            Some("got another answer than its own whole one")
        }
        401 | 404 if !is_refused && asked.request.key != TURNING_KEY => {
            Some("was refused, though it may be served")
        }
        _ => None,
    }
}

async fn planned_work(fleet: Arc<Fleet>, seed: u64, length: Duration) {
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
            4 => fleet.hang_up(),
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
async fn planned_soak_each_request_is_answered_whole() {
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
    planned_work(fleet.clone(), seed, length).await;
    stop.store(true, Ordering::SeqCst);
    let all: Vec<Asked> = workers.join_all().await.into_iter().flatten().collect();

    let runs = fleet.runners.iter().flat_map(Runner::runs);
    let run: HashSet<String> = runs.map(|run| run.attempt).collect();
    let faults: Vec<String> = all
        .iter()
        .filter_map(|asked| {
            let was_run = run.contains(&asked.request.attempt);
            let fault = fault(asked, was_run)?;
            Some(format!(
                "{} {fault}: key {}, body {} B, kept {}, {} ms after SIGTERM, lasted {} ms, {:?}",
                asked.request.path,
                asked.request.key,
                asked.request.body.len(),
                asked.kept,
                asked
                    .after_signal_ms
                    .map_or("-".to_string(), |ms| ms.to_string()),
                asked.lasted_ms,
                match &asked.ending {
                    RequestOutcome::Answered { status, .. } => format!("status {status}"),
                    other => format!("{other:?}"),
                }
            ))
        })
        .collect();
    let count = |is: fn(&Asked) -> bool| all.iter().filter(|asked| is(asked)).count();
    let served = count(|a| a.ending.status() == Some(200));
    let refused = count(|a| matches!(a.ending.status(), Some(401 | 404)));
    let unanswered = count(|a| a.ending.status().is_none());
    println!(
        "seed {seed}: {} requests, {served} served, {refused} refused, {unanswered} unanswered, {} faults",
        all.len(),
        faults.len()
    );
    let shown: Vec<&String> = faults.iter().take(40).collect();
    assert!(
        faults.is_empty(),
        "seed {seed}: {} of {}: {shown:#?}",
        faults.len(),
        all.len()
    );
    assert!(
        served * 2 > all.len(),
        "seed {seed}: {served} of {}",
        all.len()
    );
}
