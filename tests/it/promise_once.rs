//! Promise 4: a call that must not be repeated runs at most once.

use {
    crate::support::*,
    saddlepulley::names::RequestId,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// Sends calls with the same key concurrently, two to each box.
async fn send_key_to_all_boxes(
    boxes: &[SocketAddr],
    key: &str,
) -> Vec<Result<(u16, Value), String>> {
    let mut set = JoinSet::new();
    for at in boxes.iter().copied().chain(boxes.iter().copied()) {
        let key = key.to_string();
        set.spawn(async move { call_codes(at, &key, "umbrella").await });
    }
    set.join_all().await
}

async fn executions_of(cluster: &Cluster, key: &str) -> u64 {
    cluster.executions().await.get(key).copied().unwrap_or(0)
}

fn plan(checks_fence: bool) -> Plan {
    Plan {
        plain_work_ms: 60,
        checks_fence,
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_at_all_boxes_run_once() {
    for checks_fence in [false, true] {
        let cluster = Cluster::start(plan(checks_fence)).await;
        for _ in 0..10 {
            let key = RequestId::fresh().to_string();
            let answers = send_key_to_all_boxes(&cluster.caller_addrs(), &key).await;
            assert_eq!(executions_of(&cluster, &key).await, 1);
            let first = answers[0].as_ref().unwrap();
            for a in &answers {
                let a = a.as_ref().unwrap();
                assert_eq!(a.0, 200, "{a:?}");
                assert_eq!(a.1, first.1, "different answers to the same key");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_claims_and_copies_concurrent_calls_with_one_key_run_twice() {
    let plan = Plan {
        trial: "claims = false\ncopies = false".to_string(),
        ..plan(false)
    };
    let cluster = Cluster::start(plan).await;
    let key = RequestId::fresh().to_string();
    send_key_to_all_boxes(&cluster.caller_addrs(), &key).await;
    assert!(executions_of(&cluster, &key).await > 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_after_a_broken_connection_runs_once() {
    let mut plan = plan(false);
    plan.plain_work_ms = 500;
    let cluster = Cluster::start(plan).await;
    let boxes = cluster.caller_addrs();
    let key = RequestId::fresh().to_string();
    let first = {
        let (at, key) = (boxes[0], key.clone());
        tokio::spawn(async move { call_codes(at, &key, "umbrella").await })
    };
    tokio::time::sleep(Duration::from_millis(250)).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        u.proxy.drop_connections();
    }
    let (status, doc) = first.await.unwrap().unwrap();
    assert_eq!((status, &doc["outcome"]), (502, &json!("may-have-run")));
    for at in boxes {
        let (status, doc) = call_codes(at, &key, "umbrella").await.unwrap();
        assert_eq!((status, &doc["outcome"]), (502, &json!("may-have-run")));
    }
    assert_eq!(executions_of(&cluster, &key).await, 1);
}

/// Kills the daemon that accepted the call after different times, before and after it sent the
/// call to an upstream, and sends the same key to the other boxes.
#[tokio::test(flavor = "multi_thread")]
async fn a_kill_before_or_after_dispatch_never_runs_a_call_twice() {
    let mut cluster = Cluster::start(plan(false)).await;
    let boxes = cluster.caller_addrs();
    for after_ms in [0, 3, 8, 20, 45, 70, 100] {
        let key = RequestId::fresh().to_string();
        let (at, k) = (boxes[0], key.clone());
        let first = tokio::spawn(async move { call_codes(at, &k, "umbrella").await });
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        cluster.daemons[0].kill();
        let _ = first.await.unwrap();
        for at in &boxes[1..] {
            let (status, doc) = call_codes(*at, &key, "umbrella").await.unwrap();
            let outcome = doc["outcome"].as_str().unwrap_or("").to_string();
            let n = executions_of(&cluster, &key).await;
            assert!(n <= 1, "{key} ran {n} times, killed after {after_ms} ms");
            match (status, outcome.as_str()) {
                (200, _) => assert_eq!(n, 1),
                (_, "not-run") => assert_eq!(n, 0),
                (_, "may-have-run") => {}
                other => panic!("{other:?}"),
            }
        }
        cluster.daemons[0].start();
        cluster.wait_ready().await;
    }
}

/// Freezes the daemon that accepted the call and sends the same key to another box, which may
/// take over. The first daemon must not run the call again when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_that_resumes_never_runs_a_call_twice() {
    let cluster = Cluster::start(plan(false)).await;
    let boxes = cluster.caller_addrs();
    for after_ms in [2, 20, 50] {
        let key = RequestId::fresh().to_string();
        let (at, k) = (boxes[0], key.clone());
        let first = tokio::spawn(async move { call_codes(at, &k, "umbrella").await });
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        cluster.daemons[0].freeze();
        let second = call_codes(boxes[1], &key, "umbrella").await.unwrap();
        cluster.daemons[0].thaw();
        let first = first.await.unwrap().unwrap();
        let n = executions_of(&cluster, &key).await;
        assert!(n <= 1, "{key} ran {n} times; {first:?} {second:?}");
        for (status, doc) in [first, second] {
            if status == 200 {
                assert_eq!(n, 1);
            } else if doc["outcome"] == json!("not-run") {
                assert_eq!(n, 0, "{doc}");
            }
        }
        cluster.wait_ready().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_unrepeatable_calls_as_not_run_and_serves_streams() {
    let cluster = Cluster::start(plan(false)).await;
    let boxes = cluster.caller_addrs();
    let down = json!({ "down": true });
    cluster
        .control_at(cluster.platform.addr(), "faults", &down)
        .await;
    let key = RequestId::fresh().to_string();
    let (status, doc) = call_codes(boxes[0], &key, "umbrella").await.unwrap();
    assert_eq!((status, &doc["outcome"]), (503, &json!("not-run")), "{doc}");
    assert_eq!(executions_of(&cluster, &key).await, 0);
    let t = stream_completion(&boxes, 1, "goes on", 20).await;
    assert_eq!(t.end, CallerOutcome::Complete);
    let up = json!({ "down": false });
    cluster
        .control_at(cluster.platform.addr(), "faults", &up)
        .await;
    // After the outage the same key may be sent again to any box, and the call runs.
    for i in 0..20 {
        let at = boxes[1 + i % 2];
        let (status, _) = call_codes(at, &key, "umbrella").await.unwrap();
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(executions_of(&cluster, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answers_never_run_a_call_twice() {
    let cluster = Cluster::start(plan(false)).await;
    let boxes = cluster.caller_addrs();
    let mut answered = 0;
    for round in 0..8 {
        let faults = json!({ "lose_answers": 3 + round });
        cluster
            .control_at(cluster.platform.addr(), "faults", &faults)
            .await;
        let key = RequestId::fresh().to_string();
        let answers = send_key_to_all_boxes(&boxes, &key).await;
        let n = executions_of(&cluster, &key).await;
        assert!(n <= 1, "{key} ran {n} times: {answers:?}");
        for a in answers.into_iter().flatten() {
            if a.0 == 200 {
                answered += 1;
                assert_eq!(n, 1);
            } else if a.1["outcome"] == json!("not-run") {
                assert_eq!(n, 0, "{a:?}");
            }
        }
    }
    assert!(answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_old_or_malformed_key_is_refused() {
    let cluster = Cluster::start(plan(false)).await;
    let at = cluster.caller_addrs()[0];
    let old = "018bcfe5-6800-7000-8000-000000000001";
    let (status, doc) = call_codes(at, old, "umbrella").await.unwrap();
    assert_eq!(
        (status, &doc["outcome"]),
        (400, &json!("malformed")),
        "{doc}"
    );
    let (status, _) = call_codes(at, "not-a-uuid", "umbrella").await.unwrap();
    assert_eq!(status, 400);
    assert!(cluster.executions().await.is_empty());
}
