//! Upstreams that send bytes which look like an answer and are not the one to the request: surplus answers, on
//! the connection of the next request.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        faulty_upstream::*,
        support::*,
    },
    http::StatusCode,
    saddlepulley_standin::runner::Runner,
    std::net::SocketAddr,
};

const ROUTES: [TestRoute; 4] = [IDEMPOTENT, ONCE, STREAM, STREAM_ONCE];
/// Requests of one kind, of which upstreams that differ get some each.
const REQUESTS: usize = 12;

/// Answers that no sound upstream gives to a request, and the reasons by which they are told apart.
const FOREIGN: [(Fault, &str); 6] = [
    (
        answer(
            "neither id nor signature",
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nsurplus",
        ),
        "no-attempt",
    ),
    (
        answer(
            "a signature and no id",
            "HTTP/1.1 200 OK\r\nsaddlepulley-signature: s\r\ncontent-length: 7\r\n\r\nsurplus",
        ),
        "no-attempt",
    ),
    (
        answer(
            "an id and no signature",
            "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\ncontent-length: 7\r\n\r\nsurplus",
        ),
        "unsigned",
    ),
    (
        answer(
            "events without an id",
            "HTTP/1.1 200 OK\r\nsaddlepulley-signature: s\r\ncontent-type: text/event-stream\r\n\
             content-length: 22\r\n\r\nid: 9\ndata: surplus\n\n",
        ),
        "no-attempt",
    ),
    (
        answer(
            "a failure without an id",
            "HTTP/1.1 404 Not Found\r\ncontent-length: 7\r\n\r\nsurplus",
        ),
        "no-attempt",
    ),
    (
        answer(
            "a success that says it has not run",
            "HTTP/1.1 200 OK\r\nx-not-started: 1\r\ncontent-length: 7\r\n\r\nsurplus",
        ),
        "no-attempt",
    ),
];

const fn answer(name: &'static str, beginning: &'static str) -> Fault {
    Fault {
        name,
        beginning,
        ..SILENT
    }
}

/// Formats a configuration with upstreams `u0`, `u1` and so on at the given addresses.
fn routes_to(addresses: &[SocketAddr]) -> String {
    let mut routes = routes_file(1, &ROUTES.each_ref(), &[]);
    for (n, address) in addresses.iter().enumerate() {
        routes.push_str(&format!(
            "[[upstreams]]\nid = \"u{n}\"\nservice = \"s\"\naddress = \"{address}\"\nzone = \"a\"\nslots = 64\n"
        ));
    }
    routes
}

/// Waits until no caller of the upstream holds a connection on which it sent a foreign answer.
async fn until_left(upstream: &FaultyUpstream) {
    eventually("the connection is closed", async || {
        upstream.open_requests() == 0
    })
    .await;
}

#[tokio::test]
async fn bytes_that_belong_to_no_request_reach_no_client() {
    for (fault, reason) in FOREIGN {
        let upstream = FaultyUpstream::start(fault, Plays::Always).await;
        let daemon = GatewayDaemon::start(&routes_to(&[upstream.address()])).await;
        for (n, route) in ROUTES.iter().enumerate() {
            let path = format!("{}x", route.prefix);
            let answer = daemon
                .client()
                .await
                .fetch(&format!("a{n}"), &path, "")
                .await;
            let context = format!("{} on {path}: {answer:?}", fault.name);
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{context}");
            assert!(!answer.body.contains("surplus"), "{context}");
        }
        until_left(&upstream).await;
        let line =
            format!("saddlepulley_foreign_answers_total{{upstream=\"u0\",reason=\"{reason}\"}}");
        assert_eq!(
            metric(&daemon, &line).await,
            ROUTES.len() as f64,
            "{}",
            fault.name
        );
    }
}

#[tokio::test]
async fn a_repeatable_request_gets_its_answer_elsewhere_after_bytes_that_belong_to_none() {
    let (fault, _) = FOREIGN[0];
    let faulty = FaultyUpstream::start(fault, Plays::Always).await;
    let sound = Runner::start("u1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_to(&[faulty.address(), sound.address()])).await;
    let page = "saddlepulley_foreign_answers_total";
    for n in 0..REQUESTS {
        let path = ["/look/x", "/stream/resume/x"][n % 2];
        let answer = daemon
            .client()
            .await
            .fetch(&format!("a{n}"), path, "")
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let signature = format!("u1.a{n}");
        assert_eq!(answer.header("saddlepulley-signature"), signature);
    }
    assert!(
        metric(&daemon, page).await > 0.0,
        "the faulty upstream was asked"
    );
}

#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_after_bytes_that_belong_to_none() {
    let (fault, _) = FOREIGN[0];
    let faulty = FaultyUpstream::start(fault, Plays::Always).await;
    let sound = Runner::start("u1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_to(&[faulty.address(), sound.address()])).await;
    let mut failed = Vec::new();
    for n in 0..REQUESTS {
        let (attempt, path) = (format!("a{n}"), ["/once/x", "/stream/once/x"][n % 2]);
        let answer = daemon.client().await.fetch(&attempt, path, "").await;
        assert!(!answer.body.contains("surplus"), "{answer:?}");
        match answer.status {
            StatusCode::OK => {}
            StatusCode::BAD_GATEWAY => failed.push(attempt),
            _ => panic!("{answer:?}"),
        }
    }
    assert!(!failed.is_empty(), "the faulty upstream was asked");
    let ran = |attempt: &String| sound.runs().iter().any(|run| run.attempt == *attempt);
    assert!(!failed.iter().any(ran), "{failed:?}");
}

#[tokio::test]
async fn a_stream_does_not_go_on_with_bytes_that_belong_to_no_request() {
    for (fault, _) in FOREIGN {
        let upstreams = [
            FaultyUpstream::start(fault, Plays::OnContinuation).await,
            FaultyUpstream::start(fault, Plays::OnContinuation).await,
        ];
        let addresses = upstreams.each_ref().map(FaultyUpstream::address);
        let daemon = GatewayDaemon::start(&routes_to(&addresses)).await;
        let mut client = daemon.client().await;
        let answer = client.fetch("a1", "/stream/resume/x", "").await;
        let context = format!("{}: {answer:?}", fault.name);
        assert_eq!(answer.status, StatusCode::OK, "{context}");
        assert!(!answer.complete, "{context}");
        assert!(!answer.body.contains("surplus"), "{context}");
        assert!(
            metric(&daemon, "saddlepulley_foreign_answers_total").await > 0.0,
            "{context}"
        );
        for upstream in &upstreams {
            until_left(upstream).await;
        }
    }
}

#[tokio::test]
async fn a_body_in_an_encoding_that_its_client_did_not_ask_for_is_not_relayed() {
    let encoded = answer(
        "an encoded body",
        "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\nsaddlepulley-signature: s\r\n\
         content-encoding: gzip\r\ncontent-length: 7\r\n\r\nencoded",
    );
    let upstream = FaultyUpstream::start(encoded, Plays::Always).await;
    let daemon = GatewayDaemon::start(&routes_to(&[upstream.address()])).await;
    for (n, route) in ROUTES.iter().enumerate() {
        let path = format!("{}x", route.prefix);
        let answer = daemon
            .client()
            .await
            .fetch(&format!("a{n}"), &path, "")
            .await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path}: {answer:?}");
    }
    let asked_for = request("a9", "/once/x").header("accept-encoding", "gzip");
    let answer = daemon.client().await.send(asked_for, "").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.body, "encoded");
}

/// The connection is closed although the bytes look like a whole answer.
#[tokio::test]
async fn bytes_that_belong_to_no_request_are_not_relayed_and_end_their_connection() {
    let chunked = answer(
        "neither id nor signature, in chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nsurplus\r\n0\r\n\r\n",
    );
    let reason = "no-attempt";
    let upstream = FaultyUpstream::start(chunked, Plays::Always).await;
    let link = CutProxy::start(upstream.address()).await;
    let cut = GatewayDaemon::spawn_on_file("n0", &routes_to(&[link.address()]), Vec::new());
    let direct = routes_to(&[upstream.address()]);
    let relay = GatewayDaemon::spawn_on_file("n1", &direct, vec![cut.peers]);
    until_they_know_each_other(&[&cut, &relay]).await;
    link.set(LinkState::Reset);
    let found =
        format!("saddlepulley_foreign_answers_total{{upstream=\"u0\",reason=\"{reason}\"}}");
    for (n, route) in ROUTES.iter().enumerate() {
        eventually("a request is relayed", async || {
            let before = metric(&relay, &found).await;
            let path = format!("{}x", route.prefix);
            let answer = cut.client().await.fetch(&format!("a{n}"), &path, "").await;
            assert!(!answer.status.is_success(), "{answer:?}");
            assert!(!answer.body.contains("surplus"), "{answer:?}");
            metric(&relay, &found).await > before
        })
        .await;
        until_left(&upstream).await;
    }
}
