//! Promise 2: each caller gets the complete answer to its own request.

use {crate::support::*, std::time::Duration, tokio::task::JoinSet};

const TOKENS: usize = 120;

/// Streams `n` answers concurrently and checks that each is complete.
async fn check_concurrent_answers(cluster: &Cluster, n: usize) {
    let boxes = cluster.caller_addrs();
    let mut streams = JoinSet::new();
    for i in 0..n {
        let boxes = boxes.clone();
        streams.spawn(async move {
            // Each caller has its own prompt, so that a token of another answer is detected.
            let prompt = format!("question {i} about thing {}", i * 7919);
            stream_completion(&boxes, i % boxes.len(), &prompt, TOKENS).await
        });
    }
    for t in streams.join_all().await {
        assert_eq!(t.end, CallerOutcome::Complete, "{t:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_when_connections_break_at_any_byte() {
    let cluster = Cluster::start(Plan::default()).await;
    for u in &cluster.upstreams {
        u.proxy.slice(37);
        u.proxy.break_probability(0.002);
    }
    for p in &cluster.peer_proxies {
        p.slice(53);
        p.break_probability(0.001);
    }
    check_concurrent_answers(&cluster, 40).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_when_frames_are_delayed() {
    let cluster = Cluster::start(Plan::default()).await;
    let streams = check_concurrent_answers(&cluster, 24);
    let faults = async {
        for round in 0..6 {
            for (i, u) in cluster.upstreams.iter().enumerate() {
                let delayed = (i + round) % 2 == 0;
                u.proxy
                    .delay(Duration::from_millis(if delayed { 120 } else { 0 }));
            }
            for p in &cluster.peer_proxies {
                p.delay(Duration::from_millis(20 * (round as u64 % 3)));
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        for u in &cluster.upstreams {
            u.proxy.delay(Duration::ZERO);
        }
    };
    tokio::join!(streams, faults);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_mixes_two_engines_texts_of_one_token() {
    // A salted engine adds its name to each token, so that two engines never send the same text
    // for one token, and a token that both have sent is detected.
    let mut plan = Plan::default();
    plan.engine.salted = true;
    let cluster = Cluster::start(plan).await;
    let streams = check_concurrent_answers(&cluster, 24);
    let faults = async {
        for round in 0..5 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            cluster.upstreams[round % 2].proxy.drop_connections();
            cluster.peer_proxies[round % 3].drop_connections();
        }
    };
    tokio::join!(streams, faults);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_account_cannot_attach_to_a_request() {
    let cluster = Cluster::start(Plan::default()).await;
    let boxes = cluster.caller_addrs();
    let t = stream_completion(&boxes, 0, "mine alone", 10).await;
    for at in boxes {
        let path = format!("/v1/requests/{}", t.id);
        let auth = bearer(OTHER_TOKEN);
        let rep = cluster
            .client
            .send("GET", at, &path, &[("authorization", &auth)], "")
            .await
            .unwrap();
        assert_eq!(rep.status, 404);
    }
}
