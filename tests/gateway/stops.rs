//! Planned stops: requests in flight are finished, and late requests are not accepted.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        support::*,
    },
    http::StatusCode,
    nix::sys::signal::Signal,
    saddlepulley_standin::runner::{Behaviour, Runner},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
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

/// Sends the first part of a request before the stop, and the rest once the notice period is over.
async fn send_across_a_stop(
    daemon: &mut GatewayDaemon,
    requests: &[(&'static str, usize)],
) -> Vec<Vec<u8>> {
    let mut streams = Vec::new();
    for (text, first_part) in requests {
        let mut stream = TcpStream::connect(daemon.clients).await.unwrap();
        let first_part = &text.as_bytes()[..*first_part];
        stream.write_all(first_part).await.unwrap();
        streams.push(stream);
    }
    // The daemon has read what was sent before it answers on a connection that came later.
    let answer = daemon.client().await.fetch("a0", "/once/x", "").await;
    assert_eq!(answer.status, StatusCode::OK);
    daemon.signal(Signal::SIGTERM);
    eventually("new connections are refused", async || {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        Client::connect(daemon.clients).await.is_none()
    })
    .await;
    let mut answers = Vec::new();
    for ((text, first_part), mut stream) in requests.iter().zip(streams) {
        // Both fail if the daemon has closed the connection.
        let _ = stream.write_all(&text.as_bytes()[*first_part..]).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        answers.push(answer);
    }
    assert!(daemon.wait_end().await);
    answers
}

/// A request that may run once, with the given deadline in milliseconds.
macro_rules! once {
    ($attempt:literal, $deadline_ms:literal) => {
        concat!(
            "POST /once/x HTTP/1.1\r\nhost: h.example\r\nsaddlepulley-attempt: ",
            $attempt,
            "\r\nsaddlepulley-key: key-1\r\nsaddlepulley-deadline-ms: ",
            $deadline_ms,
            "\r\ncontent-length: 10\r\n\r\n0123456789"
        )
    };
}

#[tokio::test]
async fn a_request_that_comes_in_parts_across_a_stop_is_answered_or_not_run() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let mut daemon = GatewayDaemon::start(&routes_file(1, &[&ONCE], &[&runner])).await;
    let requests = [
        // Ends inside the body.
        ("short", once!("short", "300")),
        ("long", once!("long", "60000")),
        // Ends inside the head.
        ("head-short", once!("head-short", "300")),
        ("head-long", once!("head-long", "60000")),
    ];
    let parts = requests.map(|(attempt, text)| match attempt.starts_with("head") {
        true => (text, 40),
        false => (text, text.len() - 5),
    });
    let answers = send_across_a_stop(&mut daemon, &parts).await;
    for ((attempt, _), answer) in requests.iter().zip(answers) {
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let ran = runner.runs().iter().any(|run| run.attempt == *attempt);
        let is_read = !attempt.starts_with("head");
        match answer.get(..13) {
            Some("HTTP/1.1 200 ") => assert!(ran && answer.ends_with("0123456789"), "{answer}"),
            Some("HTTP/1.1 504 ") => assert!(attempt.ends_with("short"), "{attempt}: {answer}"),
            Some("HTTP/1.1 503 ") => assert!(!ran, "{attempt} was run: {answer}"),
            _ => assert!(!ran && !is_read && answer.is_empty(), "{attempt}: {answer}"),
        }
    }
    let is_late = |attempt: &str| runner.runs().iter().any(|run| run.attempt == attempt);
    assert!(!is_late("long"), "it could not end before the process");
}

#[tokio::test]
async fn a_stop_of_a_relay_cuts_no_relayed_request_off() {
    const EVENTS: u64 = 200;
    let runner = Runner::start("b1", EVENTS).await.unwrap();
    let link = CutProxy::start(runner.address()).await;
    let direct = routes_file(1, &[&STREAM_ONCE], &[&runner]);
    let (from, to) = (runner.address().to_string(), link.address().to_string());
    let cut = GatewayDaemon::spawn_on_file("n0", &direct.replace(&from, &to), Vec::new());
    let mut relay = GatewayDaemon::spawn_on_file("n1", &direct, vec![cut.peers]);
    until_they_know_each_other(&[&cut, &relay]).await;
    link.set(LinkState::Reset);
    let mut streaming = None;
    eventually("a stream is relayed", async || {
        let client = cut.client().await;
        let before = runner.runs().len();
        let attempt = format!("a{before}");
        let stream = tokio::spawn(async move {
            let mut client = client;
            client.fetch(&attempt, "/stream/once/x", "").await
        });
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        streaming = Some(stream);
        runner.runs().len() > before
    })
    .await;
    relay.signal(Signal::SIGTERM);
    let answer = streaming.unwrap().await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.complete, "{} bytes", answer.body.len());
    assert_eq!(answer.body.matches("data:").count() as u64, EVENTS);
    assert!(relay.wait_end().await);
}
