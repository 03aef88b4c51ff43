//! A box that refused requests under overload serves the next request once the overload
//! is over.

use {
    crate::support::*, saddlepulley_standin::engine::EngineConfig, std::time::Duration,
    tokio::task::JoinSet,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_refused_requests_under_overload_serves_the_next() {
    let plan = Plan {
        domains: 1,
        engines_per_domain: 1,
        engine: EngineConfig {
            slots: 1,
            step_ms: 10.0,
            ..EngineConfig::default()
        },
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    let boxes = cluster.caller_addrs();
    for round in 0..3 {
        let mut flood = JoinSet::new();
        for i in 0..60 {
            let boxes = boxes.clone();
            flood.spawn(async move {
                let headers = [("saddlepulley-deadline-ms", "800")];
                stream_completion_with(&boxes, 0, &format!("flood {round} {i}"), 20, &headers).await
            });
        }
        let transcripts = flood.join_all().await;
        let refused = transcripts
            .iter()
            .filter(|t| matches!(&t.end, CallerOutcome::Refused(_, o) if o == "not-run"));
        assert!(refused.count() > 10, "the flood was not refused");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let t = stream_completion(&boxes, 0, "after the flood", 5).await;
        assert_eq!(t.end, CallerOutcome::Complete, "{t:?}");
    }
}
