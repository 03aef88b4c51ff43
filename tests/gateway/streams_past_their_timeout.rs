//! Streams that go on, inside an answer, at an upstream that does not answer are ended at their route's
//! timeout.
//!
//! The failure: nothing ended them. Their clients waited until they gave up themselves.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        faulty_upstream::*,
        support::*,
    },
    http::StatusCode,
    std::{net::SocketAddr, time::Duration},
};

/// How long a client waits for the end of an answer, some times the route's timeout.
const PATIENCE: Duration = Duration::from_secs(10);
const ROUTE: TestRoute = TestRoute {
    timeout_ms: 1_500,
    ..STREAM
};

/// Formats a configuration file with upstreams at the given addresses.
fn routes(addresses: &[SocketAddr]) -> String {
    let mut text = routes_file(1, &[&ROUTE], &[]);
    for (n, address) in addresses.iter().enumerate() {
        text.push_str(&format!(
            "[[upstreams]]\nid = \"u{n}\"\nservice = \"s\"\naddress = \"{address}\"\nzone = \"a\"\nslots = 8\n"
        ));
    }
    text
}

/// Takes a stream that begins, and is to go on at an upstream that does not answer.
async fn fetch_stream(daemon: &GatewayDaemon, attempt: &str) -> Response {
    let mut client = daemon.client().await;
    let path = format!("{}x", ROUTE.prefix);
    let answer = client.fetch(attempt, &path, "");
    let answer = tokio::time::timeout(PATIENCE, answer).await;
    answer.expect("the stream is ended before its client gives up")
}

/// Checks that a stream was broken off, and that the upstream is let go.
async fn assert_ended(answer: &Response, upstreams: &[FaultyUpstream]) {
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.complete, "a stream without its end looks complete");
    let last = format!("id: {FIRST_EVENTS}\n");
    assert!(answer.body.contains(&last), "{}", answer.body);
    eventually("the upstreams' caller closes its connections", async || {
        upstreams.iter().all(|u| u.open_requests() == 0)
    })
    .await;
}

#[tokio::test]
async fn a_stream_that_goes_on_at_a_silent_upstream_is_ended_at_its_timeout() {
    let upstreams = [
        FaultyUpstream::start(SILENT, Plays::OnContinuation).await,
        FaultyUpstream::start(SILENT, Plays::OnContinuation).await,
    ];
    let daemon = GatewayDaemon::start(&routes(&upstreams.each_ref().map(|u| u.address()))).await;
    assert_ended(&fetch_stream(&daemon, "a1").await, &upstreams).await;
}

#[tokio::test]
async fn a_stream_that_goes_on_at_a_silent_upstream_behind_a_relay_is_ended_at_its_timeout() {
    let upstreams = [
        FaultyUpstream::start(SILENT, Plays::OnContinuation).await,
        FaultyUpstream::start(SILENT, Plays::OnContinuation).await,
    ];
    let direct = upstreams.each_ref().map(|u| u.address());
    let links = [
        CutProxy::start(direct[0]).await,
        CutProxy::start(direct[1]).await,
    ];
    for link in &links {
        link.set(LinkState::Reset);
    }
    let relay = GatewayDaemon::spawn_on_file("n1", &routes(&direct), Vec::new());
    let through_links = routes(&links.each_ref().map(|link| link.address()));
    let daemon = GatewayDaemon::spawn_on_file("n2", &through_links, vec![relay.peers]);
    relay.wait_ready().await;
    daemon.wait_ready().await;
    eventually("streams go through the other daemon", async || {
        fetch_stream(&daemon, "warm-up").await.status == StatusCode::OK
    })
    .await;
    assert_ended(&fetch_stream(&daemon, "a1").await, &upstreams).await;
    assert!(metric(&daemon, "saddlepulley_relayed_requests_total").await > 0.0);
}
