//! Soak test: callers load several daemons while a seeded random schedule injects kills,
//! freezes, network partitions, platform outages, lost answers, reclaims and concurrent edits of
//! the table. The promises are checked during the run, and at its end from the records of the
//! stand-ins and of the callers.
//!
//! `SADDLEPULLEY_SOAK_S=300 SADDLEPULLEY_SOAK_SEED=7 cargo test --test it soak`

use {
    crate::support::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::names::RequestId,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        env,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Length of the run in seconds, if `SADDLEPULLEY_SOAK_S` is not set.
const DEFAULT_SOAK_S: u64 = 15;
const STREAM_TOKENS: usize = 80;

fn from_env(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// Number of requests by their outcome.
type Counts = BTreeMap<String, usize>;

/// Sends streamed requests until `stop` is set; each answer that ends as complete is checked
/// against its own prompt.
async fn stream_load(boxes: Vec<SocketAddr>, worker: usize, stop: Arc<AtomicBool>) -> Counts {
    let mut counts = Counts::new();
    let mut n = 0;
    while !stop.load(Ordering::SeqCst) {
        n += 1;
        let first = (worker + n) % boxes.len();
        let client = test_client::Client::default();
        let ready = client.send("GET", boxes[first], "/readyz", &[], "");
        let ready = tokio::time::timeout(Duration::from_millis(500), ready).await;
        if !matches!(ready, Ok(Ok(r)) if r.status == 200) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        let prompt = format!("soak {worker} {n}");
        let transcript = try_stream_completion(&boxes, first, &prompt, STREAM_TOKENS).await;
        let end = match transcript {
            // The box failed before it answered, so the request had not been accepted.
            None => "stream not accepted".to_string(),
            Some(t) => match t.end {
                CallerOutcome::Complete => "stream complete".to_string(),
                CallerOutcome::Refused(_, outcome) => format!("stream refused {outcome}"),
                CallerOutcome::Failed(outcome) => format!("stream {outcome}"),
            },
        };
        *counts.entry(end).or_default() += 1;
    }
    counts
}

/// Sends calls that must run at most once until `stop` is set, and checks the number of
/// executions after each. Each key is sent up to three times, each time to another box.
async fn call_load(
    boxes: Vec<SocketAddr>,
    at: Vec<SocketAddr>,
    worker: usize,
    stop: Arc<AtomicBool>,
) -> Counts {
    let mut counts = Counts::new();
    let mut n = 0;
    while !stop.load(Ordering::SeqCst) {
        n += 1;
        let key = RequestId::fresh().to_string();
        for send in 0..3 {
            let to = boxes[(worker + n + send) % boxes.len()];
            let end = match call_codes(to, &key, "soak").await {
                Err(_) => "call without answer".to_string(),
                Ok((200, doc)) => {
                    assert_eq!(doc["key"], json!(key), "answer of another call");
                    "call answered".to_string()
                }
                Ok((_, doc)) => format!("call {}", doc["outcome"].as_str().unwrap_or("?")),
            };
            let executions = executions_of(&at, &key).await;
            assert!(executions <= 1, "{key} ran {executions} times");
            if end == "call not-run" {
                assert_eq!(executions, 0, "{key} ran, but its caller got `not-run`");
            }
            *counts.entry(end.clone()).or_default() += 1;
            if end == "call answered" {
                assert_eq!(executions, 1, "{key} was answered but never ran");
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    counts
}

/// Returns how often the call with this key ran, over all plain services.
async fn executions_of(at: &[SocketAddr], key: &str) -> u64 {
    let client = test_client::Client::default();
    let mut sum = 0;
    for addr in at {
        let rep = client
            .send("GET", *addr, "/control/counts", &[], "")
            .await
            .unwrap();
        let doc: Value = serde_json::from_slice(&rep.body).unwrap();
        sum += doc[key].as_u64().unwrap_or(0);
    }
    sum
}

/// Injects one random fault, removes it after a random time, and returns its name. At most one
/// box is down at a time, so that the owner of a request and the box that holds its copy never
/// fail together unannounced.
async fn inject_fault(cluster: &mut Cluster, rng: &mut ChaCha8Rng, n: usize) -> &'static str {
    let which = rng.random_range(0..3);
    let ms = rng.random_range(300..1_500);
    let pause = tokio::time::sleep(Duration::from_millis(ms));
    let platform = cluster.platform.addr();
    match rng.random_range(0..8) {
        0 => {
            cluster.daemons[which].kill();
            pause.await;
            cluster.daemons[which].start();
            cluster.wait_ready().await;
            wait_for_takeover().await;
            "kill"
        }
        1 => {
            cluster.daemons[which].freeze();
            pause.await;
            cluster.daemons[which].thaw();
            wait_for_takeover().await;
            "freeze"
        }
        2 => {
            cluster.peer_proxies[which].drop_connections();
            cluster.peer_proxies[which].cut_from(domain_ip((which + 1) % 3));
            pause.await;
            cluster.peer_proxies[which].heal();
            "cut between two domains"
        }
        3 => {
            cluster.platform_proxies[which].cut();
            pause.await;
            cluster.platform_proxies[which].heal();
            "cut off from the platform"
        }
        4 => {
            cluster
                .control_at(platform, "faults", &json!({ "down": true }))
                .await;
            pause.await;
            cluster
                .control_at(platform, "faults", &json!({ "down": false }))
                .await;
            "platform outage"
        }
        5 => {
            cluster
                .control_at(platform, "faults", &json!({ "lose_answers": 6 }))
                .await;
            pause.await;
            "lost answers"
        }
        6 => {
            replace_one_engine(cluster, which, n).await;
            "reclaim"
        }
        _ => {
            let text = published_table(cluster).await;
            let (a, b) = (
                with_weight(&text, which, 10 + n % 900),
                with_weight(&text, which, 11 + n % 900),
            );
            let _ = tokio::join!(cluster.publish(&a), cluster.publish(&b));
            "publishing race"
        }
    }
}

/// Waits until the boxes that hold copies have taken over the requests and copied them again.
/// A second box that fails within this time takes both the owner of a request and its copy with
/// it; this is the stated limit of promise 1.
async fn wait_for_takeover() {
    tokio::time::sleep(Duration::from_millis(2_500)).await;
}

/// Adds a spare engine to a domain and reclaims one of its older engines.
async fn replace_one_engine(cluster: &mut Cluster, domain: usize, n: usize) {
    let plan = Plan::default();
    let name = format!("zone-{}-spare-{n}", (b'a' + domain as u8) as char);
    cluster
        .add_engine(&plan, domain, &name, ("reclaimable", 300))
        .await;
    let old = cluster.upstreams.iter().find(|u| {
        u.domain == domain && u.service == "assistant" && !u.running.is_stopped() && u.name != name
    });
    let Some(old) = old else { return };
    cluster.reclaim(&[&old.name], 700).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    old.running.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_all_promises_under_mixed_faults() {
    let seconds = from_env("SADDLEPULLEY_SOAK_S", DEFAULT_SOAK_S);
    let seed = from_env("SADDLEPULLEY_SOAK_SEED", 1);
    println!("soak: seed {seed}, {seconds} s");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(Plan::default()).await;
    let watch = VersionMonitor::start(&cluster);
    let stop = Arc::new(AtomicBool::new(false));
    let boxes = cluster.caller_addrs();
    let codes = cluster.upstreams.iter().filter(|u| u.service == "codes");
    let codes: Vec<SocketAddr> = codes.map(|u| u.running.addr()).collect();
    let mut load = JoinSet::new();
    for worker in 0..6 {
        load.spawn(stream_load(boxes.clone(), worker, stop.clone()));
        load.spawn(call_load(
            boxes.clone(),
            codes.clone(),
            worker,
            stop.clone(),
        ));
    }
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds);
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    let mut n = 0;
    while tokio::time::Instant::now() < end {
        n += 1;
        *faults
            .entry(inject_fault(&mut cluster, &mut rng, n).await)
            .or_default() += 1;
    }
    stop.store(true, Ordering::SeqCst);
    let mut counts = Counts::new();
    for c in load.join_all().await {
        for (end, n) in c {
            *counts.entry(end).or_default() += n;
        }
    }
    watch.stop().await;
    let over_one = cluster
        .executions()
        .await
        .values()
        .filter(|n| **n > 1)
        .count();
    println!("faults: {faults:?}\nanswers: {counts:?}\nexecutions over one: {over_one}");
    assert_eq!(over_one, 0);
    let count = |what: &str| counts.get(what).copied().unwrap_or(0);
    assert!(count("stream complete") > 0 && count("call answered") > 0);
    // With one fault at a time no accepted stream is lost: every stream that is not complete
    // was refused before it was accepted.
    let allowed = [
        "stream complete",
        "stream not accepted",
        "stream refused not-run",
    ];
    let lost = |end: &&String| end.starts_with("stream") && !allowed.contains(&end.as_str());
    let lost: Vec<&String> = counts.keys().filter(lost).collect();
    assert!(lost.is_empty(), "{counts:?}");
}
