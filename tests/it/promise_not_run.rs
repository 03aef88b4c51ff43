//! Promise 3: a call that is refused with the outcome `not-run` did not run.

use {crate::support::*, saddlepulley::names::RequestId, serde_json::json, tokio::task::JoinSet};

/// Sends `n` calls concurrently, spread over all boxes, and returns (key, status, outcome)
/// of each. The status is 0 if the call got no answer.
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
                assert_eq!(doc["key"], json!(key), "answer of another call");
                assert_eq!(doc["echo"], json!(format!("item {i}")));
            }
            (key, status, outcome)
        });
    }
    set.join_all().await
}

/// Compares the outcome that each caller got with the upstreams' records of executions.
async fn check(cluster: &Cluster, outcomes: &[(String, u16, String)]) {
    let executions = cluster.executions().await;
    for (key, status, outcome) in outcomes {
        let n = executions.get(key).copied().unwrap_or(0);
        assert!(n <= 1, "{key} ran {n} times");
        match (*status, outcome.as_str()) {
            (200, _) => assert_eq!(n, 1, "{key}"),
            (_, "not-run") => assert_eq!(n, 0, "{key} ran, but its caller got `not-run`"),
            (_, "may-have-run" | "expired") => {}
            // The caller's own connection failed, so the caller got no outcome.
            (0, _) => {}
            other => panic!("{key}: {other:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_refused_as_not_run_never_ran_when_connections_break_at_any_byte() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        u.proxy.slice(11);
        u.proxy.break_probability(0.01);
    }
    let outcomes = calls(&cluster, 150).await;
    check(&cluster, &outcomes).await;
    let count_of = |what: &str| outcomes.iter().filter(|e| e.2 == what).count();
    assert!(
        count_of("may-have-run") > 0,
        "no call was interrupted by a broken connection: {outcomes:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_refused_by_an_upstream_is_not_run_or_served_elsewhere() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        cluster
            .control_at(u.running.addr(), "faults", &json!({ "refuse": 25 }))
            .await;
    }
    let outcomes = calls(&cluster, 90).await;
    check(&cluster, &outcomes).await;
    assert!(
        outcomes.iter().all(|e| e.1 == 200 || e.2 == "not-run"),
        "{outcomes:?}"
    );
    assert!(outcomes.iter().any(|e| e.2 == "not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_execution_is_reported_as_may_have_run() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        cluster
            .control_at(u.running.addr(), "faults", &json!({ "lose_answers": 5 }))
            .await;
    }
    let outcomes = calls(&cluster, 60).await;
    check(&cluster, &outcomes).await;
    let lost = outcomes.iter().filter(|e| e.2 == "may-have-run").count();
    assert_eq!(lost, 15);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_stopped_upstreams_is_not_run_or_may_have_run() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in cluster.upstreams.iter().filter(|u| u.service == "codes") {
        u.proxy.cut();
        u.running.stop();
    }
    // The proxy accepts the connection and then closes it. A daemon can't distinguish that
    // from a connection that broke after the call had been sent. It must report `not-run`
    // only when it is certain, so `may-have-run` is allowed too.
    let outcomes = calls(&cluster, 9).await;
    assert!(
        outcomes
            .iter()
            .all(|e| e.2 == "may-have-run" || e.2 == "not-run"),
        "{outcomes:?}"
    );
}
