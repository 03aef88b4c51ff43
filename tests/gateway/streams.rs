//! Streams pass in whole events, go on elsewhere where they may, and end
//! broken where they may not.

use {
    crate::support::*,
    http::StatusCode,
    saddlepulley_standin::runner::{Behaviour, Runner},
};

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|n| format!("id: {n}\ndata: event {n}\n\n"))
        .collect()
}

#[tokio::test]
async fn a_stream_passes_whole() {
    let runner = Runner::start("b1", 6).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&STREAM_ONCE], &[&runner])).await;
    let answer = daemon
        .client()
        .await
        .ask("a1", "/stream/once/x", "prompt")
        .await;
    assert!(answer.whole);
    assert_eq!(answer.body, events(1, 6));
    assert_eq!(answer.header("saddlepulley-signature"), "b1.a1");
}

#[tokio::test]
async fn a_stream_that_breaks_goes_on_at_another_upstream() {
    let runners = [
        Runner::start("b1", 8).await.unwrap(),
        Runner::start("b2", 8).await.unwrap(),
    ];
    let [a, b] = &runners;
    let routes = routes_file(1, &[&STREAM], &[a, b]);
    let mut moved = 0;
    for n in 0..8 {
        a.behave(Behaviour::CutStream(1 + n));
        let attempt = format!("a{n}");
        // A daemon that knows nothing of failures yet, as it chooses the other
        // one after the first.
        let daemon = GatewayDaemon::start(&routes).await;
        let mut client = daemon.client().await;
        let answer = client.ask(&attempt, "/stream/resume/x", "prompt").await;
        assert!(answer.whole, "{answer:?}");
        assert_eq!(answer.body, events(1, 8), "no event is missing or doubled");
        let at_a = a.runs().iter().any(|run| run.attempt == attempt);
        moved += u64::from(at_a);
    }
    assert!(moved > 0, "8 choices between two equal upstreams");
}

#[tokio::test]
async fn a_client_may_take_a_stream_up_itself() {
    let runner = Runner::start("b1", 8).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&STREAM], &[&runner])).await;
    let again = request("a1", "/stream/resume/x").header("last-event-id", "5");
    let answer = daemon.client().await.send(again, "").await.unwrap();
    assert_eq!(answer.body, events(6, 8));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_broken() {
    let runners = [
        Runner::start("b1", 8).await.unwrap(),
        Runner::start("b2", 8).await.unwrap(),
    ];
    let [a, b] = &runners;
    a.behave(Behaviour::CutStream(4));
    b.behave(Behaviour::CutStream(4));
    let daemon = GatewayDaemon::start(&routes_file(1, &[&STREAM_ONCE], &[a, b])).await;
    let answer = daemon.client().await.ask("a1", "/stream/once/x", "").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.whole, "it must not look complete");
    assert_eq!(answer.body, events(1, 3), "whole events only");
    assert_eq!(a.runs().len() + b.runs().len(), 1);
}

#[tokio::test]
async fn a_client_that_leaves_takes_its_request_with_it() {
    let runner = Runner::start("b1", 100_000).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&STREAM], &[&runner])).await;
    daemon
        .client()
        .await
        .ask_and_leave("a1", "/stream/resume/x")
        .await;
    eventually("cancelled", async || runner.abandoned() == 1).await;
}
