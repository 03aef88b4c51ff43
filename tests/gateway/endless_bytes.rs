//! Upstreams that send bytes which are no answer, in a head or a body, until their caller closes the
//! connection. Callers get an answer of the daemon or a broken-off one by their route's timeout, and the
//! daemon's memory stays bounded.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        faulty_upstream::*,
        support::*,
    },
    std::{fs, net::SocketAddr, process::Stdio, time::Duration},
    tempfile::TempDir,
    tokio::task::JoinSet,
};

/// How long a client waits for the end of an answer, some times the routes' timeout.
const PATIENCE: Duration = Duration::from_secs(15);
const TIMEOUT_MS: u64 = 1_500;
/// Requests of one kind that meet the fault at once.
const REQUESTS: usize = 12;
/// The memory of a box, in megabytes. A daemon buffers an eighth of it.
const MEMORY_MB: u64 = 260;
const BUFFERED_BYTES: u64 = MEMORY_MB * 1_000_000 / 8;
const PAUSE: Duration = Duration::from_millis(5);

const ROUTES: [TestRoute; 4] = [
    TestRoute {
        timeout_ms: TIMEOUT_MS,
        ..IDEMPOTENT
    },
    TestRoute {
        timeout_ms: TIMEOUT_MS,
        ..ONCE
    },
    TestRoute {
        timeout_ms: TIMEOUT_MS,
        ..STREAM
    },
    TestRoute {
        timeout_ms: TIMEOUT_MS,
        ..STREAM_ONCE
    },
];

const EVENTS_HEAD: &str = "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\n\
                           saddlepulley-signature: s\r\ncontent-type: text/event-stream\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\n\
                            saddlepulley-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Faults by what is sent without end. Each is played slowly and as fast as the caller reads.
const ENDLESS: [(&str, &str, &str); 12] = [
    ("garbage", "", "\u{1}garbage"),
    ("a value in a head", "HTTP/1.1 200 OK\r\nx-a: ", "x"),
    ("lines of a head", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    ("interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "interim heads with fields",
        "",
        "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n",
    ),
    ("comments", EVENTS_HEAD, ":\n\n"),
    ("one event", EVENTS_HEAD, "data: x\n"),
    ("events without ids", EVENTS_HEAD, "data: x\n\n"),
    ("the size of a chunk", CHUNKED_HEAD, "0"),
    ("chunks", CHUNKED_HEAD, "1\r\nx\r\n"),
    (
        "an extension of a chunk",
        "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\nsaddlepulley-signature: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "x",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: {attempt}\r\nsaddlepulley-signature: s\r\n\
         transfer-encoding: chunked\r\n\r\n0\r\n",
        "x-a: b\r\n",
    ),
];

fn faults(pause: Duration) -> impl Iterator<Item = Fault> {
    ENDLESS
        .into_iter()
        .map(move |(name, beginning, repeated)| Fault {
            name,
            beginning,
            repeated,
            pause,
        })
}

async fn start_daemon(addresses: &[SocketAddr]) -> GatewayDaemon {
    start_named("n1", addresses, Vec::new()).await
}

async fn start_named(
    name: &'static str,
    addresses: &[SocketAddr],
    seeds: Vec<SocketAddr>,
) -> GatewayDaemon {
    let mut routes = routes_file(1, &ROUTES.each_ref(), &[]);
    for (n, address) in addresses.iter().enumerate() {
        routes.push_str(&format!(
            "[[upstreams]]\nid = \"u{n}\"\nservice = \"s\"\naddress = \"{address}\"\nzone = \"a\"\nslots = 64\n"
        ));
    }
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("routes.toml");
    fs::write(&path, routes).unwrap();
    let settings = DaemonSettings {
        name,
        source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
        extra_settings: format!("[bounds]\nbuffered_bytes = {BUFFERED_BYTES}"),
        seeds,
        stdout: Stdio::null(),
    };
    let daemon = GatewayDaemon::spawn(dir, settings);
    daemon.wait_ready().await;
    daemon
}

/// Sends requests of all kinds at once to a daemon whose upstreams play a fault.
async fn meet(fault: Fault, plays: Plays) {
    let upstreams = [
        FaultyUpstream::start(fault, plays).await,
        FaultyUpstream::start(fault, plays).await,
    ];
    let daemon = start_daemon(&upstreams.each_ref().map(FaultyUpstream::address)).await;
    send_all(fault, &daemon).await;
    check_left(fault, &[&daemon], &upstreams).await;
}

/// Sends requests of all kinds at once through a daemon that reaches its upstream by a relay only.
async fn meet_behind_a_relay(fault: Fault) {
    let upstreams = [FaultyUpstream::start(fault, Plays::Always).await];
    let link = CutProxy::start(upstreams[0].address()).await;
    let cut = start_named("n0", &[link.address()], Vec::new()).await;
    let relay = start_named("n1", &[upstreams[0].address()], vec![cut.peers]).await;
    until_they_know_each_other(&[&cut, &relay]).await;
    link.set(LinkState::Reset);
    eventually("requests are relayed", async || {
        let mut client = cut.client().await;
        let warm_up = client.send(request("warm-up", "/once/x"), "");
        // It is counted at its end, which may be its timeout.
        let _ = tokio::time::timeout(Duration::from_millis(200), warm_up).await;
        let page = relay.metrics_page().await;
        let is_counted = page.contains("saddlepulley_relayed_for_others_total");
        is_counted || upstreams[0].open_requests() > 0
    })
    .await;
    send_all(fault, &cut).await;
    check_left(fault, &[&cut, &relay], &upstreams).await;
}

/// Sends requests of all kinds at once, none of which gets a whole success.
async fn send_all(fault: Fault, daemon: &GatewayDaemon) {
    let mut clients = JoinSet::new();
    for n in 0..REQUESTS * ROUTES.len() {
        let route = &ROUTES[n % ROUTES.len()];
        let mut client = daemon.client().await;
        clients.spawn(async move {
            let (attempt, path) = (format!("a{n}"), format!("{}x", route.prefix));
            let answer = client.send(request(&attempt, &path), "");
            let answer = tokio::time::timeout(PATIENCE, answer).await;
            let answer =
                answer.unwrap_or_else(|_| panic!("{}: no end in time on {path}", fault.name));
            let is_whole = answer.is_ok_and(|a| a.complete && a.status.is_success());
            assert!(!is_whole, "{}: looks complete on {path}", fault.name);
        });
    }
    clients.join_all().await;
}

/// Checks that the daemons have little memory, no request, and no connection with the fault.
async fn check_left(fault: Fault, daemons: &[&GatewayDaemon], upstreams: &[FaultyUpstream]) {
    for daemon in daemons {
        let peak_mb = peak_memory_mb(daemon);
        assert!(peak_mb < MEMORY_MB / 2, "{}: {peak_mb} MB", fault.name);
        eventually("the daemon holds no request", async || {
            metric(daemon, "saddlepulley_open_requests").await == 0.0
        })
        .await;
    }
    eventually("the upstreams' caller closes its connections", async || {
        upstreams.iter().all(|u| u.open_requests() == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_come_slowly_are_no_answer() {
    for fault in faults(PAUSE) {
        meet(fault, Plays::Always).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_come_fast_are_no_answer() {
    for fault in faults(Duration::ZERO) {
        meet(fault, Plays::Always).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_behind_a_relay_are_no_answer() {
    for fault in faults(Duration::ZERO) {
        meet_behind_a_relay(fault).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_no_continuation_of_a_stream() {
    for fault in faults(PAUSE).chain(faults(Duration::ZERO)) {
        meet(fault, Plays::OnContinuation).await;
    }
}
