//! Measures for how long after a reclaim notice an upstream still receives new requests.
//!
//! `cargo bench --bench leaving`

#[path = "../tests/it/support/mod.rs"]
#[allow(dead_code, unused_imports)]
mod support;

use {
    serde_json::{Value, json},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    support::*,
    tokio::task::JoinSet,
};

const TRIALS: usize = 6;
const WORKERS: usize = 12;
/// How long load continues after the notice.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(5_000);

fn main() {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(async {
            run_trials("notice seen by all", json!({}), false).await;
            run_trials(
                "notices lost, box list lags 500 ms",
                json!({ "mute_notices": true, "list_lag_ms": 500 }),
                false,
            )
            .await;
            run_trials("the domain cut off from the platform", json!({}), true).await;
        });
}

async fn run_trials(name: &str, settings: Value, cut: bool) {
    let mut times = Vec::new();
    for _ in 0..TRIALS {
        times.push(run_trial(&settings, cut).await);
    }
    times.sort_unstable();
    println!(
        "{name}: last new dispatch after the notice, p50 {} ms, max {} ms ({TRIALS} trials)",
        times[times.len() / 2],
        times[times.len() - 1]
    );
}

/// Returns the time from the notice to the last request that the upstream started, in
/// milliseconds.
async fn run_trial(settings: &Value, cut: bool) -> u64 {
    let plan = Plan {
        row: "rate = 5000\nconcurrency = 5000\npolicies = { naive = 1 }\n".to_string(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.control("settings", settings).await;
    if cut {
        cluster.platform_proxies[0].cut();
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = JoinSet::new();
    for i in 0..WORKERS {
        let (boxes, stop) = (cluster.caller_addrs(), stop.clone());
        load.spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                stream_completion(&boxes, i % boxes.len(), &format!("short {i}"), 2).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let notice_ms = saddlepulley::names::now_ms();
    cluster.reclaim(&["zone-a-engine-0"], 60_000).await;
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let at = cluster.upstreams[0].running.addr();
    let counts = cluster.control_at(at, "counts", &Value::Null).await;
    stop.store(true, Ordering::SeqCst);
    load.join_all().await;
    counts["last_started_ms"]
        .as_u64()
        .unwrap()
        .saturating_sub(notice_ms)
}
