//! Requests that end without a response.
//!
//! The failure: around planned work on real machines, a connection ended before the response was
//! complete.
//!
//! How it comes about: a client sends a request, or the remainder of one. Before the daemon has
//! read it, the daemon closes the connection, because it refuses by the head alone, stops, closes
//! an idle connection, or has a client that reads late. Unread bytes in the socket make the
//! kernel reset the connection. A reset also discards the response that the client has not read
//! yet, and the next request on that connection is lost as well. The daemon used to close
//! connections without checking for unread input.
//!
//! The tests compare how connections end for the client (closed or reset, after how many bytes)
//! with what the upstream ran.

use {
    crate::{raw_client::*, support::*},
    http::StatusCode,
    nix::sys::signal::Signal,
    saddlepulley_standin::runner::Runner,
    std::{fs, time::Duration},
};

const TRIES: usize = 12;
const BODY_BYTES: [usize; 3] = [40, 3_000, 400_000];
const SERVED: u16 = 200;
const NOT_RUN: u16 = 503;

fn without_services(routes: String) -> String {
    routes.replace(
        "services = [{ service = \"s\", weight = 1 }]",
        "services = []",
    )
}

/// Sends a request that is refused, then one that is served, on one connection. Returns the
/// unexpected outcomes.
async fn refused_then_served(
    daemon: &GatewayDaemon,
    refused: (&str, &'static str),
    status: u16,
    next: Option<&str>,
) -> Vec<String> {
    let mut failures = Vec::new();
    let (path, key) = refused;
    for n in 0..TRIES * BODY_BYTES.len() {
        let bytes = BODY_BYTES[n % BODY_BYTES.len()];
        let mut client = RawClient::connect(daemon.clients).await.unwrap();
        let mut request = RawRequest::new(&format!("r{n}"), path, key, bytes);
        request.in_two_writes = n % 2 == 0;
        let outcome = client.fetch(&request).await;
        if outcome.status() != Some(status) {
            failures.push(format!("{path} {key} {bytes} B: {outcome:?}"));
            continue;
        }
        let Some(next) = next else { continue };
        let request = RawRequest::new(&format!("n{n}"), next, "key-1", 40);
        let outcome = client.fetch(&request).await;
        if outcome.status() != Some(SERVED) {
            failures.push(format!("after {path} {key} {bytes} B: {outcome:?}"));
        }
    }
    failures
}

#[tokio::test]
async fn a_refusal_before_the_body_arrives_keeps_the_connection_usable() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    let mut failures = Vec::new();
    for (refused, status) in [(("/look/x", "key-0"), 401), (("/other/x", "key-1"), 404)] {
        failures.extend(refused_then_served(&daemon, refused, status, Some("/look/x")).await);
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
    assert!(runner.runs().iter().all(|run| run.attempt.starts_with('n')));
}

#[tokio::test]
async fn a_refusal_by_a_route_without_services_arrives() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let routes = without_services(routes_file(1, &[&IDEMPOTENT], &[&runner]));
    let daemon = GatewayDaemon::start(&routes).await;
    let failures = refused_then_served(&daemon, ("/look/x", "key-1"), 404, None).await;
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

#[tokio::test]
async fn a_refusal_by_a_daemon_without_a_configuration_arrives() {
    let daemon = GatewayDaemon::start_unready("");
    eventually("listening", async || {
        daemon.readiness_status().await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let failures = refused_then_served(&daemon, ("/look/x", "key-1"), 503, None).await;
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

#[tokio::test]
async fn a_refusal_of_a_body_that_is_too_large_arrives() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let limit = "[config.limits]\nmax_body_bytes = 1000\n";
    let routes = routes_file(1, &[&IDEMPOTENT], &[&runner]) + limit;
    let daemon = GatewayDaemon::start(&routes).await;
    let mut failures = Vec::new();
    for n in 0..TRIES {
        let mut client = RawClient::connect(daemon.clients).await.unwrap();
        let request = RawRequest::new(&format!("r{n}"), "/look/x", "key-1", 400_000);
        let outcome = client.fetch(&request).await;
        if outcome.status() != Some(413) {
            failures.push(format!("{outcome:?}"));
        }
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against the loss of requests that arrive shortly before a stopping daemon closes its
/// connections. A daemon that gets no processor time during its stop finds at once that its
/// notice period is over and that requests are waiting.
#[tokio::test]
async fn requests_that_arrive_before_a_stop_closes_connections_are_answered() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    let mut clients = Vec::new();
    for n in 0..2 * TRIES {
        let mut client = RawClient::connect(daemon.clients).await.unwrap();
        let is_kept = n % 2 == 0;
        if is_kept {
            let request = RawRequest::new(&format!("f{n}"), "/look/x", "key-1", 40);
            assert_eq!(client.fetch(&request).await.status(), Some(SERVED));
        }
        clients.push((if is_kept { "kept" } else { "unused" }, client));
    }
    daemon.signal(Signal::SIGTERM);
    eventually("not ready", async || {
        daemon.readiness_status().await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    daemon.signal(Signal::SIGSTOP);
    for _ in 0..TRIES {
        let client = RawClient::connect(daemon.clients).await.unwrap();
        clients.push(("new", client));
    }
    for (n, (_, client)) in clients.iter_mut().enumerate() {
        let request = RawRequest::new(&format!("a{n}"), "/look/x", "key-1", 40);
        client.send(&request).await.unwrap();
    }
    // Longer than the notice period.
    tokio::time::sleep(Duration::from_secs(3)).await;
    daemon.signal(Signal::SIGCONT);
    let mut failures = Vec::new();
    for (n, (kind, client)) in clients.iter_mut().enumerate() {
        let outcome = client.answer().await;
        let was_run = runner
            .runs()
            .iter()
            .any(|run| run.attempt == format!("a{n}"));
        match outcome.status() {
            Some(SERVED) if was_run => {}
            // A request that could not be completed before the process ends is refused.
            Some(NOT_RUN) if !was_run => {}
            _ => failures.push(format!("{kind}, was run {was_run}: {outcome:?}")),
        }
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

#[tokio::test]
async fn a_response_waits_for_a_client_that_reads_late() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    let mut client = RawClient::connect(daemon.clients).await.unwrap();
    let request = RawRequest::new("a1", "/look/x", "key-1", 3_500_000);
    client.send(&request).await.unwrap();
    // The response is larger than the receive buffer of the client.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let outcome = client.answer().await;
    assert_eq!(outcome.status(), Some(SERVED), "{outcome:?}");
}

/// Guards against closing an idle connection by the timeout of an outdated configuration.
#[tokio::test]
async fn a_changed_idle_timeout_applies_to_open_connections() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let with_idle = |version: u64, idle_ms: u64| {
        let routes = routes_file(version, &[&IDEMPOTENT], &[&runner]);
        format!("{routes}[config.limits]\nidle_timeout_ms = {idle_ms}\n")
    };
    let daemon = GatewayDaemon::start(&with_idle(1, 10_000)).await;
    let mut client = RawClient::connect(daemon.clients).await.unwrap();
    let fetch = |attempt: &str| RawRequest::new(attempt, "/look/x", "key-1", 40);
    assert_eq!(client.fetch(&fetch("a1")).await.status(), Some(SERVED));
    fs::write(daemon.routes_path(), with_idle(2, 20_000)).unwrap();
    tokio::time::sleep(Duration::from_secs(13)).await;
    let outcome = client.fetch(&fetch("a2")).await;
    assert_eq!(outcome.status(), Some(SERVED), "{outcome:?}");
}
