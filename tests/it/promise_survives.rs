//! Promise 1: an accepted request survives any announced reclaim.

use {
    crate::support::*,
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

const TOKENS: usize = 200;

fn start_streams(boxes: &[SocketAddr], n: usize) -> JoinSet<Transcript> {
    let mut streams = JoinSet::new();
    for i in 0..n {
        let boxes = boxes.to_vec();
        streams.spawn(async move {
            let first = i % boxes.len();
            stream_completion(
                &boxes,
                first,
                &format!("prompt number {i} with some words"),
                TOKENS,
            )
            .await
        });
    }
    streams
}

async fn assert_all_complete(streams: JoinSet<Transcript>) -> Vec<Transcript> {
    let transcripts = streams.join_all().await;
    for t in &transcripts {
        assert_eq!(t.end, CallerOutcome::Complete, "{t:?}");
    }
    transcripts
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_reclaim_of_an_upstream() {
    let cluster = Cluster::start(Plan::default()).await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.reclaim(&["zone-a-engine-0"], 800).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    cluster.upstreams[0].running.stop();
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_reclaim_of_their_entry_box() {
    let mut cluster = Cluster::start(Plan::default()).await;
    cluster.list_entry_boxes().await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let name = cluster.daemons[0].id.clone();
    cluster.reclaim(&[&name], 1_000).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    cluster.daemons[0].kill();
    let transcripts = assert_all_complete(streams).await;
    assert!(
        transcripts.iter().any(|t| t.reattaches > 0),
        "no caller had to re-attach"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_reclaim_of_a_whole_failure_domain() {
    let mut cluster = Cluster::start(Plan::default()).await;
    cluster.list_entry_boxes().await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let name = cluster.daemons[0].id.clone();
    let names = [
        name.as_str(),
        "zone-a-engine-0",
        "zone-a-engine-1",
        "zone-a-codes",
    ];
    cluster.reclaim(&names, 2_000).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    cluster.daemons[0].kill();
    for u in cluster.upstreams.iter().filter(|u| u.domain == 0) {
        u.running.stop();
    }
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_daemon_killed_during_the_notice_period() {
    let mut cluster = Cluster::start(Plan::default()).await;
    cluster.list_entry_boxes().await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let name = cluster.daemons[0].id.clone();
    cluster.reclaim(&[&name, "zone-a-engine-0"], 2_000).await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    cluster.daemons[0].kill();
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_frozen_owner() {
    let cluster = Cluster::start(Plan::default()).await;
    // A caller can't detect that its box is frozen, so the callers send their requests to the
    // other boxes.
    let boxes = cluster.caller_addrs();
    let streams = start_streams(&boxes[1..], 8);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.daemons[0].freeze();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    cluster.daemons[0].thaw();
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_reclaim_of_the_upstreams_that_they_moved_to() {
    let plan = Plan {
        engines_per_domain: 3,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    for wave in 0..2 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let names: Vec<String> = ["a", "b", "c"]
            .map(|d| format!("zone-{d}-engine-{wave}"))
            .into();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        // Each notice is sent twice; the second arrives while the first is being handled.
        cluster.reclaim(&names, 600).await;
        cluster.reclaim(&names, 400).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        for u in cluster
            .upstreams
            .iter()
            .filter(|u| names.contains(&u.name.as_str()))
        {
            u.running.stop();
        }
    }
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_notice_seen_by_one_domain_only() {
    let mut cluster = Cluster::start(Plan::default()).await;
    cluster.list_entry_boxes().await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.platform_proxies[0].cut();
    cluster.platform_proxies[2].cut();
    let name = cluster.daemons[0].id.clone();
    cluster
        .reclaim(&[&name, "zone-a-engine-0", "zone-a-engine-1"], 1_500)
        .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster.daemons[0].kill();
    for u in cluster.upstreams.iter().filter(|u| u.domain == 0) {
        u.running.stop();
    }
    assert_all_complete(streams).await;
}

/// Returns how many streams are incomplete when `trial` turns a mechanism off, after two
/// upstreams were stopped (`stop_engines`) or one daemon was killed.
async fn incomplete_streams_with(trial: &str, stop_engines: bool) -> usize {
    let plan = Plan {
        trial: trial.to_string(),
        ..Plan::default()
    };
    let mut cluster = Cluster::start(plan).await;
    let streams = start_streams(&cluster.caller_addrs(), 12);
    tokio::time::sleep(Duration::from_millis(500)).await;
    if stop_engines {
        cluster.upstreams[0].running.stop();
        cluster.upstreams[1].running.stop();
    } else {
        cluster.daemons[0].kill();
    }
    let transcripts = streams.join_all().await;
    transcripts
        .iter()
        .filter(|t| t.end != CallerOutcome::Complete)
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn without_copies_a_killed_box_loses_streams() {
    assert!(incomplete_streams_with("copies = false", false).await > 0);
    assert_eq!(incomplete_streams_with("", false).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_resume_a_lost_upstream_loses_streams() {
    assert!(incomplete_streams_with("resume = false", true).await > 0);
    assert_eq!(incomplete_streams_with("", true).await, 0);
}

/// An owner that restarts at once answers its peers again, but has lost the state of its
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_an_immediate_restart_of_their_owner() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let boxes = cluster.caller_addrs();
    let streams = start_streams(&boxes, 12);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.daemons[0].kill();
    cluster.daemons[0].start();
    assert_all_complete(streams).await;
}
