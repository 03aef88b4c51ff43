//! Promise 5: an upstream that is leaving gets no new requests.

use {
    crate::support::*,
    saddlepulley::policy::BoxState,
    serde_json::{Value, json},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

const LEAVING: &str = "zone-a-engine-0";

/// Random placement (`naive`), so that every upstream gets requests.
fn plan(trial: &str) -> Plan {
    Plan {
        row: "rate = 1000\nconcurrency = 1000\npolicies = { naive = 1 }\n".to_string(),
        trial: trial.to_string(),
        ..Plan::default()
    }
}

/// Returns how many requests the leaving engine has started.
async fn started(cluster: &Cluster) -> u64 {
    let u = cluster
        .upstreams
        .iter()
        .find(|u| u.name == LEAVING)
        .unwrap();
    let counts = cluster
        .control_at(u.running.addr(), "counts", &Value::Null)
        .await;
    counts["started"].as_u64().unwrap()
}

/// Sends short requests to every box until `stop` is set; each must be answered in full.
fn start_load(cluster: &Cluster, stop: &Arc<AtomicBool>) -> JoinSet<()> {
    let boxes = cluster.caller_addrs();
    let mut set = JoinSet::new();
    for i in 0..6 {
        let (boxes, stop) = (boxes.clone(), stop.clone());
        set.spawn(async move {
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let t =
                    stream_completion(&boxes, i % boxes.len(), &format!("short {i} {n}"), 3).await;
                assert_eq!(t.end, CallerOutcome::Complete, "{t:?}");
            }
        });
    }
    set
}

/// Reclaims the engine under load and returns how many requests it started in 2.5 s after
/// the daemons knew of the reclaim. With `wait_all`, waits until every daemon shows the engine
/// as leaving; otherwise waits 500 ms.
async fn dispatches_after_notice(cluster: &Cluster, wait_all: bool) -> u64 {
    let stop = Arc::new(AtomicBool::new(false));
    let load = start_load(cluster, &stop);
    while started(cluster).await == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    cluster.reclaim(&[LEAVING], 60_000).await;
    let leaving = |s: &saddlepulley::caller::Status| {
        let b = s.boxes.iter().find(|b| b.id.as_str() == LEAVING);
        b.is_some_and(|b| b.state >= BoxState::Leaving)
    };
    if wait_all {
        for daemon in &cluster.daemons {
            cluster
                .wait_status(daemon, "informed of the reclaim", leaving)
                .await;
        }
    } else {
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let before = started(cluster).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let after = started(cluster).await;
    stop.store(true, Ordering::SeqCst);
    load.join_all().await;
    after - before
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_box_list_brings_no_requests_back_to_a_leaving_upstream() {
    let cluster = Cluster::start(plan("")).await;
    cluster
        .control("settings", &json!({ "list_lag_ms": 8_000 }))
        .await;
    assert_eq!(dispatches_after_notice(&cluster, true).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_monotone_states_a_stale_box_list_brings_requests_back() {
    let cluster = Cluster::start(plan("leaving = false")).await;
    cluster
        .control("settings", &json!({ "list_lag_ms": 8_000 }))
        .await;
    assert!(dispatches_after_notice(&cluster, false).await > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reclaim_notice_is_learned_from_the_box_list() {
    let cluster = Cluster::start(plan("")).await;
    cluster
        .control(
            "settings",
            &json!({ "mute_notices": true, "list_lag_ms": 500 }),
        )
        .await;
    assert_eq!(dispatches_after_notice(&cluster, true).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_from_the_platform_learns_of_a_reclaim_from_its_peers() {
    let cluster = Cluster::start(plan("")).await;
    cluster.platform_proxies[0].cut();
    assert_eq!(dispatches_after_notice(&cluster, true).await, 0);
}
