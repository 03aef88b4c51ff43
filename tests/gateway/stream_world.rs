//! Daemons on a store, upstreams of several software versions, and clients that take broken streams
//! up again, at any daemon.

use {
    crate::{store_support::log_file, support::*, versioned_upstream::*},
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Empty},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    nix::sys::signal::Signal,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::store::Store,
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::{net::TcpStream, task::JoinSet},
};

pub const NAMES: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];
/// How long a client goes on trying to get its stream.
const PATIENCE: Duration = Duration::from_secs(8);
/// Longest time between two events after which a client gives an answer up.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Pause before another try, if the answer names none.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The daemons that clients may turn to.
pub type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Daemons, with the store and the upstreams that they serve from.
pub struct StreamWorld {
    pub store: Arc<Store>,
    pub upstreams: Vec<VersionedUpstream>,
    pub daemons: BTreeMap<&'static str, GatewayDaemon>,
    pub addresses: Addresses,
    domains: Vec<&'static str>,
}

impl StreamWorld {
    /// Starts upstreams of the given versions and one daemon in each of the given failure domains.
    pub async fn start(domains: &[&'static str], versions: &[&str]) -> Self {
        let store = Store::start().await.unwrap();
        store.put("keyed.op", "config", &config());
        let mut world = Self {
            store: Arc::new(store),
            upstreams: Vec::new(),
            daemons: BTreeMap::new(),
            addresses: Addresses::default(),
            domains: domains.to_vec(),
        };
        for version in versions {
            world.add_upstream(version).await;
        }
        for n in 0..domains.len() {
            world.start_daemon(n).await;
        }
        world.until_known().await;
        world
    }

    pub async fn add_upstream(&mut self, version: &str) {
        let id = format!("i-{}", self.upstreams.len());
        let upstream = VersionedUpstream::start(&id, version).await;
        let entry = upstream.entry("ready");
        self.store.put("keyed.servers", &id, &entry);
        self.upstreams.push(upstream);
    }

    /// Removes the entry of an upstream, which serves on.
    pub fn withdraw(&self, index: usize) {
        self.store
            .drop_key("keyed.servers", self.upstreams[index].id());
    }

    /// Lets the upstreams of a version say that they leave.
    pub fn drain(&self, version: &str) {
        let all = 0..self.upstreams.len();
        for index in all.filter(|n| self.upstreams[*n].version() == version) {
            self.drain_one(index);
        }
    }

    /// Lets an upstream say that it leaves.
    pub fn drain_one(&self, index: usize) {
        let upstream = &self.upstreams[index];
        let entry = upstream.entry("draining");
        self.store.put("keyed.servers", upstream.id(), &entry);
    }

    pub async fn start_daemon(&mut self, n: usize) {
        let name = NAMES[n];
        let address = self.store.address();
        let settings = DaemonSettings {
            name,
            source: format!("kind = \"platform\"\nstore = \"{address}\""),
            extra_settings: "seeds_patience_ms = 400\n".to_string(),
            seeds: self.daemons.values().map(|d| d.peers).take(3).collect(),
            stdout: log_file(name),
        };
        let dir = TempDir::new().unwrap();
        let daemon = GatewayDaemon::spawn_in_domain(self.domains[n], &next_build(), dir, settings);
        daemon.wait_ready().await;
        self.addresses.lock().push(daemon.clients);
        self.daemons.insert(name, daemon);
    }

    /// Waits until all daemons know each other.
    pub async fn until_known(&self) {
        let all_known = format!("saddlepulley_daemons {}", self.daemons.len());
        for daemon in self.daemons.values() {
            eventually("the daemons know each other", async || {
                daemon.metrics_page().await.contains(&all_known)
            })
            .await;
        }
    }

    /// Takes a daemon out, so that no more clients turn to it.
    pub fn take_daemon(&mut self, n: usize) -> Option<GatewayDaemon> {
        let daemon = self.daemons.remove(NAMES[n])?;
        self.addresses.lock().retain(|a| *a != daemon.clients);
        Some(daemon)
    }

    pub fn kill_all(&mut self) {
        for n in 0..self.domains.len() {
            self.kill(n);
        }
    }

    pub async fn start_all(&mut self) {
        for n in 0..self.domains.len() {
            self.start_daemon(n).await;
        }
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(daemon) = self.take_daemon(n) {
            daemon.signal(Signal::SIGKILL);
        }
    }
}

fn config() -> serde_json::Value {
    json!({
        "version": 3,
        "route_table": [{
            "name": "r", "host": "h.example", "path_prefix": "/s/", "route_type": "streaming",
            "stream_resume": true, "timeout_ms": 8000, "target_latency_ms": 1000, "priority": 0,
            "service": "s", "max_attempts": 3, "public": false, "itl_target_ms": 500
        }],
        "services": [{ "name": "s", "max_connections": 1000 }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 1000000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "t", "api_keys": ["k"], "rate_per_s": 0, "burst": 0 }]
    })
}

/// What a client got of a stream over all its tries.
#[derive(Clone, Debug, Default)]
pub struct StreamOutcome {
    /// The versions that wrote the events.
    pub versions: BTreeSet<String>,
    /// The version that wrote the first event.
    pub first_version: Option<String>,
    /// The number of the last event; events came without gaps or repetitions up to it.
    pub last: u64,
    /// An event was missing or came twice.
    pub is_out_of_order: bool,
    /// The client took the stream up after events.
    pub is_taken_up: bool,
    /// A try that took the stream up brought further events.
    pub went_on: bool,
    /// Number of tries that were refused as not run.
    pub refused: u32,
    /// Longest time until a refusal.
    pub slowest_refusal: Duration,
}

impl StreamOutcome {
    pub fn is_complete(&self) -> bool {
        self.last == EVENTS
    }
}

/// A client's stream: its first try, and others if it breaks off.
pub struct StreamClient {
    addresses: Addresses,
    rng: ChaCha8Rng,
    /// The client leaves after this event, and takes the stream up at once.
    leaves_after: Option<u64>,
    /// The attempt that brought the first event.
    began_with: Option<String>,
    /// An attempt that the client names in place of the one that began its stream.
    names: Option<String>,
    outcome: StreamOutcome,
}

impl StreamClient {
    pub fn new(addresses: &Addresses, seed: u64) -> Self {
        Self {
            addresses: addresses.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            leaves_after: None,
            began_with: None,
            names: None,
            outcome: StreamOutcome::default(),
        }
    }

    pub fn leaving_after(mut self, event: u64) -> Self {
        self.leaves_after = Some(event);
        self
    }

    /// Lets the client name an attempt in place of the one that began its stream.
    pub fn naming(mut self, attempt: &str) -> Self {
        self.names = Some(attempt.to_string());
        self
    }

    /// Gets the stream, with as many tries as the client's patience allows.
    pub async fn run(mut self) -> StreamOutcome {
        let give_up_at = Instant::now() + PATIENCE;
        while Instant::now() < give_up_at && !self.outcome.is_complete() {
            let pause = self.attempt().await;
            tokio::time::sleep(pause).await;
        }
        self.outcome
    }

    /// Makes one try. Returns the time until the next one.
    async fn attempt(&mut self) -> Duration {
        let address = self.addresses.lock().choose(&mut self.rng).copied();
        let attempt = format!("{:016x}", self.rng.random::<u64>());
        let takes_up = self.outcome.last > 0;
        self.outcome.is_taken_up |= takes_up;
        let asked_at = Instant::now();
        let answer = match address {
            Some(address) => self.ask(address, &attempt).await,
            None => None,
        };
        let Some(answer) = answer else {
            return RETRY_PAUSE;
        };
        if answer.status() != StatusCode::OK {
            self.outcome.refused += 1;
            self.outcome.slowest_refusal = self.outcome.slowest_refusal.max(asked_at.elapsed());
            let retry_after = answer.headers().get("retry-after");
            let seconds = retry_after.and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
            return seconds.map_or(RETRY_PAUSE, Duration::from_secs_f64);
        }
        let before = self.outcome.last;
        self.read(answer.into_body()).await;
        if self.outcome.last > before {
            self.outcome.went_on |= takes_up;
            self.began_with.get_or_insert(attempt);
        }
        Duration::from_millis(self.rng.random_range(10..200))
    }

    async fn ask(
        &mut self,
        address: SocketAddr,
        attempt: &str,
    ) -> Option<http::Response<Incoming>> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let mut request = Request::post("/s/x")
            .header("host", "h.example")
            .header("x-attempt-id", attempt)
            .header("x-credential", "k")
            .header("x-deadline-ms", "6000");
        if self.outcome.last > 0 {
            let named = self.names.as_ref().or(self.began_with.as_ref());
            request = request
                .header("last-event-id", self.outcome.last)
                .header("resumes", named.map_or("", String::as_str));
        }
        let request = request.body(Empty::<Bytes>::new()).unwrap();
        let answer = tokio::time::timeout(PATIENCE, sender.send_request(request));
        answer.await.ok()?.ok()
    }

    /// Reads events until the answer ends or breaks off, or the client leaves.
    async fn read(&mut self, mut body: Incoming) {
        let mut unread = String::new();
        while let Ok(Some(Ok(frame))) = tokio::time::timeout(MAX_SILENCE, body.frame()).await {
            let data = frame.into_data().unwrap_or_default();
            unread.push_str(&String::from_utf8_lossy(&data));
            while let Some((event, rest)) = unread.split_once("\n\n") {
                self.record(event);
                unread = rest.to_string();
            }
            if self.leaves_after.is_some_and(|n| self.outcome.last >= n) {
                self.leaves_after = None;
                return;
            }
        }
    }

    fn record(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let number: u64 = field("id: ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let version = field("data: ").unwrap_or_default().to_string();
        let outcome = &mut self.outcome;
        outcome.is_out_of_order |= number != outcome.last + 1;
        outcome.last = number;
        outcome.first_version.get_or_insert_with(|| version.clone());
        outcome.versions.insert(version);
    }
}

/// How clients behave in a load of streams.
#[derive(Clone, Copy)]
pub struct StreamLoad {
    pub per_s: u64,
    /// Share of the clients that leave after some events and take their streams up at once.
    pub leaving: f64,
    pub seed: u64,
}

impl StreamLoad {
    /// Starts the clients of a period, which then run on.
    pub fn start(self, addresses: &Addresses, period: Duration) -> JoinSet<StreamOutcome> {
        let mut clients = JoinSet::new();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let count = self.per_s * period.as_millis() as u64 / 1_000;
        for n in 0..count {
            let mut client = StreamClient::new(addresses, rng.random());
            if rng.random_bool(self.leaving) {
                client = client.leaving_after(rng.random_range(3..=8));
            }
            let begin = Duration::from_millis(n * 1_000 / self.per_s);
            clients.spawn(async move {
                tokio::time::sleep(begin).await;
                client.run().await
            });
        }
        clients
    }
}

/// Sums of the outcomes of a load.
#[derive(Debug, Default)]
pub struct StreamTally {
    pub streams: usize,
    pub complete: usize,
    pub taken_up: usize,
    pub went_on: usize,
    /// Streams with events of two versions.
    pub mixed: usize,
    pub out_of_order: usize,
}

impl StreamTally {
    pub fn of(outcomes: &[StreamOutcome]) -> Self {
        let count = |is: &dyn Fn(&StreamOutcome) -> bool| outcomes.iter().filter(|o| is(o)).count();
        Self {
            streams: outcomes.len(),
            complete: count(&|o| o.is_complete()),
            taken_up: count(&|o| o.is_taken_up),
            went_on: count(&|o| o.went_on),
            mixed: count(&|o| o.versions.len() > 1),
            out_of_order: count(&|o| o.is_out_of_order),
        }
    }
}

/// Returns the sums of the outcomes, in which no stream may hold events of two versions, and none may lack
/// events or hold one twice.
pub fn check(outcomes: &[StreamOutcome]) -> StreamTally {
    let tally = StreamTally::of(outcomes);
    println!("{tally:?}");
    assert_eq!(
        tally.mixed, 0,
        "streams with events of two versions: {tally:?}"
    );
    assert_eq!(tally.out_of_order, 0, "events missing or twice: {tally:?}");
    tally
}
