//! Rollouts with the platform's store: the operator's order, upstreams of two versions, the
//! requests that daemons send to each, and the status that they write for the operator.

use {
    crate::{store_support::*, support::*},
    saddlepulley_standin::store::Store,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::JoinSet,
    },
};

const STATUS_TOPIC: &str = "keyed.status";
const ROLLOUT_KEY: &str = "rollout/s";
/// Number of clients. Each sends its next request after the response to the one before.
const CLIENTS: usize = 6;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(12);

/// An upstream that answers every request with the same status after a delay, and counts
/// requests.
struct Upstream {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl Upstream {
    async fn start(status: u16, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU64::new(0));
        let counted = requests.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counted = counted.clone();
                tokio::spawn(async move {
                    let mut buf = [0; 4_096];
                    while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
                        counted.fetch_add(1, Ordering::Relaxed);
                        tokio::time::sleep(delay).await;
                        let answer = format!(
                            "HTTP/1.1 {status} X\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
                        );
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, requests }
    }

    async fn healthy() -> Self {
        Self::start(200, Duration::from_millis(5)).await
    }

    fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    fn put_entry(&self, store: &Store, id: &str, version: &str) {
        let mut entry = entry(self.address, "ready", 1);
        entry["version"] = json!(version);
        store.put("keyed.servers", id, &entry);
    }
}

fn put_order(store: &Store, target: &str, deadline_s: f64) {
    let order = json!({ "service": "s", "target_version": target, "deadline_s": deadline_s });
    store.put("keyed.op", ROLLOUT_KEY, &order);
}

/// Returns the states that the daemons wrote, in order, without repetitions.
fn states(store: &Store) -> Vec<String> {
    let states = store.values(STATUS_TOPIC, ROLLOUT_KEY).into_iter();
    let mut states: Vec<String> = states
        .map(|status: Value| status["state"].as_str().unwrap_or_default().to_string())
        .collect();
    states.dedup();
    states
}

/// Clients that send requests until this value is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    /// Requests that were not answered completely with 200.
    failed: Arc<AtomicU64>,
    _clients: JoinSet<()>,
}

impl Load {
    fn on(daemon: &GatewayDaemon) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let failed = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..CLIENTS {
            let (stop, failed, address) = (stop.clone(), failed.clone(), daemon.clients);
            clients.spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let is_complete = fetch_at(address, "/p/x").await == Some(http::StatusCode::OK);
                    failed.fetch_add(u64::from(!is_complete), Ordering::Relaxed);
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
        Self {
            stop,
            failed,
            _clients: clients,
        }
    }

    fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

struct World {
    store: Store,
    daemon: GatewayDaemon,
    old: Upstream,
}

async fn world() -> World {
    let store = Store::start().await.unwrap();
    store.put("keyed.op", "config", &config(3, "/p/"));
    let old = Upstream::healthy().await;
    old.put_entry(&store, "i-1", "v1");
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    World { store, daemon, old }
}

#[tokio::test]
async fn a_healthy_version_receives_all_requests_before_its_deadline() {
    let World { store, daemon, old } = world().await;
    let load = Load::on(&daemon);
    let new = Upstream::healthy().await;
    let began = Instant::now();
    put_order(&store, "v2", 14.0);
    new.put_entry(&store, "i-2", "v2");
    eventually("an outcome", async || states(&store).len() > 1).await;
    assert!(
        began.elapsed() < Duration::from_secs(14),
        "completed before the deadline"
    );
    assert_eq!(states(&store), ["in_progress", "completed"]);
    // Upstreams of the old version stop at once, so no more requests may be sent to them.
    let sent = old.requests();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(old.requests(), sent);
    assert_eq!(load.failed(), 0);
    let page = daemon.metrics_page().await;
    assert!(page.contains("saddlepulley_rollout_share{service=\"s\",version=\"v2\"} 1"));
    assert!(page.contains("saddlepulley_rollout_answers_total"));
}

#[tokio::test]
async fn a_failing_version_is_rolled_back_without_failed_requests() {
    let World { store, daemon, old } = world().await;
    let load = Load::on(&daemon);
    let new = Upstream::start(500, Duration::ZERO).await;
    put_order(&store, "v2", 30.0);
    new.put_entry(&store, "i-2", "v2");
    eventually("an outcome", async || states(&store).len() > 1).await;
    assert_eq!(states(&store), ["in_progress", "rolled_back"]);
    let sent = new.requests();
    assert!(sent < 50, "{sent} requests before the rollback");
    let share = sent as f64 / (sent + old.requests()) as f64;
    assert!(share < 0.1, "{share}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(new.requests(), sent, "no requests after the rollback");
    // Requests that fail on the new version are retried on the old one.
    assert_eq!(load.failed(), 0);
}

#[tokio::test]
async fn a_slow_version_is_rolled_back() {
    let World { store, daemon, .. } = world().await;
    let _load = Load::on(&daemon);
    let new = Upstream::start(200, Duration::from_millis(80)).await;
    put_order(&store, "v2", 30.0);
    new.put_entry(&store, "i-2", "v2");
    eventually("an outcome", async || states(&store).len() > 1).await;
    assert_eq!(states(&store), ["in_progress", "rolled_back"]);
    assert!(new.requests() < 60, "{} requests", new.requests());
}

#[tokio::test]
async fn orders_that_cannot_be_met_have_an_outcome() {
    let World { store, daemon, old } = world().await;
    let _load = Load::on(&daemon);
    // No upstream of this version is ever registered.
    put_order(&store, "v9", 4.0);
    eventually("rolled back without upstreams", async || {
        states(&store).last().is_some_and(|s| s == "rolled_back")
    })
    .await;
    // The deadline has passed when daemons read the order.
    put_order(&store, "v8", 0.0);
    eventually("rolled back at the deadline", async || {
        let written = store.values(STATUS_TOPIC, ROLLOUT_KEY);
        let last = written.last().unwrap();
        last["target_version"] == "v8" && last["state"] == "rolled_back"
    })
    .await;
    // The version that is already in use.
    put_order(&store, "v1", 20.0);
    eventually("completed with the same version", async || {
        let written = store.values(STATUS_TOPIC, ROLLOUT_KEY);
        let last = written.last().unwrap();
        last["target_version"] == "v1" && last["state"] == "completed"
    })
    .await;
    let sent = old.requests();
    eventually("the old version continues to serve", async || {
        old.requests() > sent + 20
    })
    .await;
}

/// All daemons are killed in the middle of a rollout. A daemon that starts afterwards has only
/// the written status to continue from, and must not begin a second rollout.
#[tokio::test]
async fn a_rollout_resumes_from_the_written_status_after_all_daemons_are_killed() {
    let World { store, daemon, old } = world().await;
    let load = Load::on(&daemon);
    let new = Upstream::healthy().await;
    put_order(&store, "v2", 16.0);
    new.put_entry(&store, "i-2", "v2");
    eventually("the new version receives requests", async || {
        new.requests() > 5
    })
    .await;
    drop(load);
    drop(daemon);
    let daemon = crate::store_support::daemon("n2", &store, &[]);
    daemon.wait_ready().await;
    let _load = Load::on(&daemon);
    eventually("an outcome", async || states(&store).len() > 1).await;
    let written = store.values(STATUS_TOPIC, ROLLOUT_KEY);
    let started = |index: usize| written[index]["started_ms"].as_u64();
    assert_eq!(
        started(0),
        started(written.len() - 1),
        "it is the same rollout"
    );
    assert!(old.requests() > 0);
}
