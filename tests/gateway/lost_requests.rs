//! Requests that ended without an answer.
//!
//! What users saw: around planned work on real machines a request's connection ended
//! without a whole answer.
//!
//! The order of events: a client sends a request, or the rest of one; before the daemon
//! has read it, the daemon decides to close the connection (it refuses by the head
//! alone, it stops, the connection has rested for long, its client reads late); the
//! kernel resets the connection, because bytes stand unread in its socket.
//!
//! The cause: the daemon closed connections without looking at what had come on them.
//! A reset also takes the answer away that the client has not read yet, and what it
//! asks next on that connection is lost, too.
//!
//! The evidence: the endings that the clients here see (closed or reset, after how
//! many bytes), against what the upstream ran.

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

fn nowhere(routes: String) -> String {
    routes.replace(
        "services = [{ service = \"s\", weight = 1 }]",
        "services = []",
    )
}

/// Asks for what is refused, then for what is served, on one connection; returns
/// what went wrong.
async fn refused_then_served(
    daemon: &GatewayDaemon,
    refused: (&str, &'static str),
    status: u16,
    next: Option<&str>,
) -> Vec<String> {
    let mut faults = Vec::new();
    let (path, key) = refused;
    for n in 0..TRIES * BODY_BYTES.len() {
        let bytes = BODY_BYTES[n % BODY_BYTES.len()];
        let mut client = RawClient::connect(daemon.clients).await.unwrap();
        let mut request = RawRequest::new(&format!("r{n}"), path, key, bytes);
        request.in_two_writes = n % 2 == 0;
        let ending = client.ask(&request).await;
        if ending.status() != Some(status) {
            faults.push(format!("{path} {key} {bytes} B: {ending:?}"));
            continue;
        }
        let Some(next) = next else { continue };
        let request = RawRequest::new(&format!("n{n}"), next, "key-1", 40);
        let ending = client.ask(&request).await;
        if ending.status() != Some(SERVED) {
            faults.push(format!("after {path} {key} {bytes} B: {ending:?}"));
        }
    }
    faults
}

#[tokio::test]
async fn a_refusal_given_before_the_body_arrives_and_its_connection_serves_on() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    let mut faults = Vec::new();
    for (refused, status) in [(("/look/x", "key-0"), 401), (("/other/x", "key-1"), 404)] {
        faults.extend(refused_then_served(&daemon, refused, status, Some("/look/x")).await);
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
    assert!(runner.runs().iter().all(|run| run.attempt.starts_with('n')));
}

#[tokio::test]
async fn a_refusal_by_a_route_that_leads_nowhere_arrives() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let routes = nowhere(routes_file(1, &[&IDEMPOTENT], &[&runner]));
    let daemon = GatewayDaemon::start(&routes).await;
    let faults = refused_then_served(&daemon, ("/look/x", "key-1"), 404, None).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_refusal_by_a_daemon_without_a_configuration_arrives() {
    let daemon = GatewayDaemon::start_unready("");
    eventually("listening", async || {
        daemon.readiness_status().await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let faults = refused_then_served(&daemon, ("/look/x", "key-1"), 503, None).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_refusal_of_a_body_that_is_too_large_arrives() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let limit = "[config.limits]\nmax_body_bytes = 1000\n";
    let routes = routes_file(1, &[&IDEMPOTENT], &[&runner]) + limit;
    let daemon = GatewayDaemon::start(&routes).await;
    let mut faults = Vec::new();
    for n in 0..TRIES {
        let mut client = RawClient::connect(daemon.clients).await.unwrap();
        let request = RawRequest::new(&format!("r{n}"), "/look/x", "key-1", 400_000);
        let ending = client.ask(&request).await;
        if ending.status() != Some(413) {
            faults.push(format!("{ending:?}"));
        }
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// A daemon that gets no processor time for a while during its stop finds both
/// the end of the notice and requests that have waited for it.
#[tokio::test]
async fn what_arrived_before_a_stop_closes_connections_is_answered() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    let mut clients = Vec::new();
    for n in 0..2 * TRIES {
        let mut client = RawClient::connect(daemon.clients).await.unwrap();
        let is_kept = n % 2 == 0;
        if is_kept {
            let request = RawRequest::new(&format!("f{n}"), "/look/x", "key-1", 40);
            assert_eq!(client.ask(&request).await.status(), Some(SERVED));
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
    // Longer than the notice lasts.
    tokio::time::sleep(Duration::from_secs(3)).await;
    daemon.signal(Signal::SIGCONT);
    let mut faults = Vec::new();
    for (n, (kind, client)) in clients.iter_mut().enumerate() {
        let ending = client.answer().await;
        let was_run = runner
            .runs()
            .iter()
            .any(|run| run.attempt == format!("a{n}"));
        match ending.status() {
            Some(SERVED) if was_run => {}
            // One that could not be finished before the process ends.
            Some(NOT_RUN) if !was_run => {}
            _ => faults.push(format!("{kind}, was run {was_run}: {ending:?}")),
        }
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn an_answer_waits_for_a_client_that_reads_late() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    let mut client = RawClient::connect(daemon.clients).await.unwrap();
    let request = RawRequest::new("a1", "/look/x", "key-1", 3_500_000);
    client.send(&request).await.unwrap();
    // The answer is larger than what the client's side takes unread.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let ending = client.answer().await;
    assert_eq!(ending.status(), Some(SERVED), "{ending:?}");
}
#[tokio::test]
async fn a_connection_rests_as_long_as_the_configuration_in_force_allows() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let with_idle = |version: u64, idle_ms: u64| {
        let routes = routes_file(version, &[&IDEMPOTENT], &[&runner]);
        format!("{routes}[config.limits]\nidle_timeout_ms = {idle_ms}\n")
    };
    let daemon = GatewayDaemon::start(&with_idle(1, 10_000)).await;
    let mut client = RawClient::connect(daemon.clients).await.unwrap();
    let ask = |attempt: &str| RawRequest::new(attempt, "/look/x", "key-1", 40);
    assert_eq!(client.ask(&ask("a1")).await.status(), Some(SERVED));
    fs::write(daemon.routes_path(), with_idle(2, 20_000)).unwrap();
    tokio::time::sleep(Duration::from_secs(13)).await;
    let ending = client.ask(&ask("a2")).await;
    assert_eq!(ending.status(), Some(SERVED), "{ending:?}");
}
