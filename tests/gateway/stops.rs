//! Planned stops: requests in flight are finished, and late requests are not accepted.

use {
    crate::support::*,
    http::StatusCode,
    nix::sys::signal::Signal,
    saddlepulley_standin::runner::{Behaviour, Runner},
};

#[tokio::test]
async fn a_planned_stop_does_not_cut_off_requests_in_flight() {
    // The stream lasts longer than the time in which new requests are still accepted.
    let runner = Runner::start("b1", 200).await.unwrap();
    let mut daemon =
        GatewayDaemon::start(&routes_file(1, &[&STREAM, &IDEMPOTENT], &[&runner])).await;
    let mut idle = daemon.client().await;
    assert_eq!(idle.fetch("a0", "/look/x", "").await.status, StatusCode::OK);
    let untouched = daemon.client().await;
    let mut busy = daemon.client().await;
    let stream = tokio::spawn(async move { busy.fetch("a1", "/stream/resume/x", "").await });
    eventually("streaming", async || runner.runs().len() == 2).await;
    daemon.signal(Signal::SIGTERM);
    eventually("not ready", async || {
        daemon.readiness_status().await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let late = idle.fetch("a2", "/look/x", "").await;
    assert_eq!(
        late.status,
        StatusCode::OK,
        "a request soon after the signal is served"
    );
    assert_eq!(late.header("connection"), "close");
    let answer = stream.await.unwrap();
    assert!(answer.complete);
    assert_eq!(answer.body.matches("data:").count(), 200);
    assert!(daemon.wait_end().await, "the daemon exits without an error");
    drop(untouched);
}

#[tokio::test]
async fn no_request_is_accepted_late_in_a_stop() {
    let runner = Runner::start("b1", 100_000).await.unwrap();
    let mut daemon =
        GatewayDaemon::start(&routes_file(1, &[&STREAM, &IDEMPOTENT], &[&runner])).await;
    let mut keep_alive = daemon.client().await;
    assert_eq!(
        keep_alive.fetch("a0", "/look/x", "").await.status,
        StatusCode::OK
    );
    let mut unused = daemon.client().await;
    let mut busy = daemon.client().await;
    let endless =
        tokio::spawn(async move { busy.fetch("a1", "/stream/resume/x", "").await.complete });
    eventually("streaming", async || runner.runs().len() == 2).await;
    runner.set_behaviour(Behaviour::Serve);
    daemon.signal(Signal::SIGTERM);
    eventually("new connections are refused", async || {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        Client::connect(daemon.clients).await.is_none()
    })
    .await;
    let before = runner.runs().len();
    let answers = [
        keep_alive.send(request("a2", "/look/x"), "").await,
        unused.send(request("a3", "/look/x"), "").await,
    ];
    assert!(answers.iter().all(Result::is_err), "{answers:?}");
    assert_eq!(runner.runs().len(), before, "neither was forwarded");
    assert!(daemon.wait_end().await);
    assert!(
        !endless.await.unwrap(),
        "the stream is cut off at the end of the stop schedule"
    );
}
