//! Promise 3: refused "not run" means that it didn't run.

use {crate::support::*, saddlepulley::names::RequestId, serde_json::json, tokio::task::JoinSet};

/// Sends calls under faults and returns (key, status, outcome) of each.
async fn calls(cluster: &Cluster, n: usize) -> Vec<(String, u16, String)> {
    let boxes = cluster.caller_addrs();
    let mut set = JoinSet::new();
    for i in 0..n {
        let at = boxes[i % boxes.len()];
        set.spawn(async move {
            let key = RequestId::fresh().to_string();
            let (status, doc) = call_codes(at, &key, &format!("item {i}"))
                .await
                .unwrap_or_default();
            let outcome = doc["outcome"].as_str().unwrap_or("").to_string();
            if status == 200 {
                assert_eq!(doc["key"], json!(key), "another call's answer");
                assert_eq!(doc["echo"], json!(format!("item {i}")));
            }
            (key, status, outcome)
        });
    }
    set.join_all().await
}

async fn check(cluster: &Cluster, ends: &[(String, u16, String)]) {
    let executions = cluster.executions().await;
    for (key, status, outcome) in ends {
        let n = executions.get(key).copied().unwrap_or(0);
        assert!(n <= 1, "{key} ran {n} times");
        match (*status, outcome.as_str()) {
            (200, _) => assert_eq!(n, 1, "{key}"),
            (_, "not-run") => assert_eq!(n, 0, "{key} ran, and its caller was told `not-run`"),
            (_, "may-have-run" | "expired") => {}
            // The caller lost its own connection: nothing was said.
            (0, _) => {}
            other => panic!("{key}: {other:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_true_under_cuts_at_any_byte() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        u.proxy.slice(11);
        u.proxy.break_chance(0.01);
    }
    let ends = calls(&cluster, 150).await;
    check(&cluster, &ends).await;
    let told = |what: &str| ends.iter().filter(|e| e.2 == what).count();
    assert!(told("may-have-run") > 0, "no cut hit a call: {ends:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_typed_refusal_is_not_run_or_served_elsewhere() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        cluster
            .control_at(u.running.addr(), "faults", &json!({ "refuse": 25 }))
            .await;
    }
    let ends = calls(&cluster, 90).await;
    check(&cluster, &ends).await;
    assert!(
        ends.iter().all(|e| e.1 == 200 || e.2 == "not-run"),
        "{ends:?}"
    );
    assert!(ends.iter().any(|e| e.2 == "not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_acting_is_may_have_run() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        cluster
            .control_at(u.running.addr(), "faults", &json!({ "lose_answers": 5 }))
            .await;
    }
    let ends = calls(&cluster, 60).await;
    check(&cluster, &ends).await;
    let lost = ends.iter().filter(|e| e.2 == "may-have-run").count();
    assert_eq!(lost, 15);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_is_gone_is_not_run() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        u.proxy.cut();
        u.running.stop();
    }
    // The proxy takes the connection and cuts it: nobody can tell that from a
    // call that was cut, so `not-run` must not be said lightly.
    let ends = calls(&cluster, 9).await;
    assert!(
        ends.iter()
            .all(|e| e.2 == "may-have-run" || e.2 == "not-run"),
        "{ends:?}"
    );
}
