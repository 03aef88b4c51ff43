//! Upstreams crash, drain and restart under the same ids, at their old addresses or at new
//! ones, with entries that are removed or overwritten by invalid data, while clients send
//! non-idempotent requests. The schedule is seeded. To run more seeds for longer:
//! `RESTART_SEEDS=1-50 RESTART_SECONDS=6 cargo test --test gateway restart_soak`.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley_standin::store::Store,
    serde_json::json,
    std::{
        collections::HashMap,
        env,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

const UPSTREAMS: usize = 4;
const CLIENTS: usize = 6;
/// Longer than daemons need to learn of a change of upstreams.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How often each attempt was run.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// One incarnation of an upstream. Dropping it closes its listener and connections.
struct Incarnation {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Incarnation {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Incarnation {
    async fn start(id: String, at: Option<SocketAddr>, runs: Runs) -> Self {
        let mut listener = None;
        for _ in 0..50 {
            let at = at.unwrap_or(([127, 0, 0, 1], 0).into());
            match TcpListener::bind(at).await {
                Ok(bound) => {
                    listener = Some(bound);
                    break;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
        let listener = listener.expect("the address is free again");
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, id.clone(), runs.clone()));
            }
        });
        Self { address, task }
    }
}

/// Answers the requests of a connection: runs those that name this upstream, and answers all
/// others with 421.
async fn serve(mut stream: TcpStream, id: String, runs: Runs) {
    let mut buf = vec![0; 8_192];
    while let Ok(n) = stream.read(&mut buf).await {
        if n == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buf[..n]).to_lowercase();
        let value = |name: &str| {
            let line = head.lines().find_map(|l| l.strip_prefix(name));
            line.map(|v| v.trim().to_string()).unwrap_or_default()
        };
        let attempt = value("x-attempt-id:");
        let is_expected = value("x-expected-instance:") == id;
        if is_expected {
            *runs.lock().entry(attempt.clone()).or_default() += 1;
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
        let status = if is_expected {
            "200 OK\r\nX-Response-Seal: s"
        } else {
            "421 Misdirected Request\r\nX-Not-Executed: 1"
        };
        let answer =
            format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 2\r\n\r\nok");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

struct World {
    store: Store,
    incarnations: Vec<Option<Incarnation>>,
    runs: Runs,
    /// Start time of the newest incarnation, as written to the store.
    clock_ms: u64,
}

impl World {
    fn id(index: usize) -> String {
        format!("i-{index}")
    }

    /// Writes the entry of an upstream to the store.
    fn put_entry(&self, index: usize, state: &str, sequence: u64) {
        let Some(incarnation) = &self.incarnations[index] else {
            return;
        };
        let mut entry = entry(incarnation.address, state, sequence);
        entry["born"] = json!(self.clock_ms);
        self.store.put("keyed.servers", &Self::id(index), &entry);
    }

    async fn start(&mut self, index: usize, at: Option<SocketAddr>) {
        self.clock_ms += 1_000;
        self.incarnations[index] =
            Some(Incarnation::start(Self::id(index), at, self.runs.clone()).await);
        self.put_entry(index, "ready", 1);
    }

    /// Ends a randomly chosen upstream in one of four ways and restarts it under its id: with its
    /// entry left, removed, draining or invalid.
    async fn restart(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..UPSTREAMS);
        let old = self.incarnations[index]
            .as_ref()
            .map(|incarnation| incarnation.address);
        let pause = Duration::from_millis(rng.random_range(0..300));
        match rng.random_range(0..4) {
            0 => {}
            1 => self.store.drop_key("keyed.servers", &Self::id(index)),
            2 => {
                self.put_entry(index, "draining", 2);
                tokio::time::sleep(pause).await;
            }
            _ => {
                let key = Self::id(index);
                self.store
                    .put_bytes("keyed.servers", key.as_bytes(), b"[1,");
            }
        }
        self.incarnations[index] = None;
        tokio::time::sleep(pause).await;
        let at = old.filter(|_| rng.random_bool(0.5));
        self.start(index, at).await;
    }
}

async fn fetch_once(address: SocketAddr, attempt: &str) -> Option<StatusCode> {
    let request = http::Request::get("/p/x")
        .header("host", "h.example")
        .header("x-attempt-id", attempt)
        .header("x-credential", "k")
        .header("x-deadline-ms", "1000");
    let mut client = Client::connect(address).await?;
    let answer = client.send(request, "").await.ok()?;
    Some(answer.status)
}

/// Checks that an attempt ran at most once, and that its status is consistent with that.
fn check(attempt: &str, status: Option<StatusCode>, runs: &Runs) {
    let ran = runs.lock().get(attempt).copied().unwrap_or(0);
    assert!(ran <= 1, "{attempt} ran {ran} times");
    match status {
        Some(StatusCode::OK) => assert_eq!(ran, 1, "{attempt}"),
        Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
            assert_eq!(ran, 0, "{attempt}: the status says that it has not run");
        }
        Some(StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {}
        other => panic!("{attempt}: {other:?}"),
    }
}

async fn soak(seed: u64, length: Duration) {
    let store = Store::start().await.unwrap();
    let mut config = config(3, "/p/");
    config["route_table"][0]["route_type"] = json!("non_idempotent");
    store.put("keyed.op", "config", &config);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World {
        store,
        incarnations: (0..UPSTREAMS).map(|_| None).collect(),
        runs: Runs::default(),
        clock_ms: 1_000,
    };
    for index in 0..UPSTREAMS {
        world.start(index, None).await;
    }
    let first = daemon("n1", &world.store, &[]);
    first.wait_ready().await;
    let second = daemon("n2", &world.store, &[&first]);
    second.wait_ready().await;
    let addresses = [first.clients, second.clients];
    let until = Instant::now() + length;
    let next = Arc::new(AtomicU64::new(0));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let (next, runs) = (next.clone(), world.runs.clone());
        clients.spawn(async move {
            while Instant::now() < until {
                let attempt = format!("a{seed}-{}", next.fetch_add(1, Ordering::Relaxed));
                let status = fetch_once(addresses[client % 2], &attempt).await;
                check(&attempt, status, &runs);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }
    while Instant::now() < until {
        world.restart(&mut rng).await;
    }
    while let Some(ended) = clients.join_next().await {
        ended.unwrap();
    }
    tokio::time::sleep(SETTLE_TIME).await;
    for (n, address) in addresses.into_iter().cycle().take(20).enumerate() {
        let attempt = format!("calm{seed}-{n}");
        let status = fetch_once(address, &attempt).await;
        assert_eq!(status, Some(StatusCode::OK), "seed {seed}, request {n}");
    }
    // Includes requests that ran after their client had its response.
    let runs = world.runs.lock();
    let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "seed {seed}: {twice:?}");
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = env::var("RESTART_SEEDS").unwrap_or_else(|_| "1-2".into());
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}

#[tokio::test]
async fn non_idempotent_requests_run_at_most_once_while_upstreams_restart_under_their_ids() {
    let seconds = env::var("RESTART_SECONDS").ok();
    let seconds = seconds.map_or(3, |s| s.parse().unwrap());
    for seed in seeds() {
        soak(seed, Duration::from_secs(seconds)).await;
        println!("seed {seed} passed");
    }
}
