//! Upstreams that spoil the heads of their answers: no client gets such an answer, and sound answers reach clients
//! whole, however they are written.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        faulty_upstream::Plays,
        scripted_upstream::{
            EVENTS as EVENTS_OF_A_SCRIPT, Script, ScriptedUpstream, Scripts, event,
        },
        support::*,
        written_upstream::*,
    },
    futures_util::{StreamExt, stream},
    http::StatusCode,
    saddlepulley_standin::runner::Runner,
    std::net::SocketAddr,
};

const ROUTES: [TestRoute; 4] = [IDEMPOTENT, ONCE, STREAM, STREAM_ONCE];
/// Daemons that run at once.
const DAEMONS: usize = 4;
/// Requests of one kind, of which upstreams that differ get some each.
const REQUESTS: usize = 12;

/// Transfer codings that nobody asked for, or that are none. The body is in chunks.
const CODINGS: [&str; 12] = [
    "chunke",
    "gzip",
    "identity",
    "",
    "chunked;",
    "-chunked",
    "chunked, gzip",
    "gzip, chunked",
    "chunked, chunked",
    "chunked;q=1",
    "chunked,",
    "\u{e9}\u{ff}%$",
];

/// Heads that don't say where the body ends, although the connection is to be kept.
const UNFRAMED: [&str; 6] = [
    // An empty line inside the head.
    "HTTP/1.1 200 OK\r\n{own}\r\ncontent-length: {length}\r\n\r\n{body}",
    "HTTP/1.1 200 OK\r\n{own}x-a: b\n\nc\r\ncontent-length: {length}\r\n\r\n{body}",
    "HTTP/1.1 200 OK\r\n{own}keep-alive: timeout=10\r\n\r\ntransfer-encoding: chunked\r\n\r\n{chunks}",
    "HTTP/1.1 200 OK\r\n{own}\r\n{half}",
    "HTTP/1.1 200 OK\r\n{own}content-lemgth: {length}\r\n\r\n{half}",
    "HTTP/1.1 200 OK\r\n{own}\r\n{chunks}",
];

/// Heads that are none, behind a first line that is sound.
const LINES: [&str; 36] = [
    "words without a colon\r\n",
    ": b\r\n",
    ":\r\n",
    "x-a: b\r\n folded\r\n",
    "\tx-a: b\r\n",
    "HTTP/1.1 200 OK\r\n",
    "\u{1}\u{2}\u{3}\r\n",
    "\0\r\n",
    "\u{ff}\u{fe}\r\n",
    "x-a: b\rc\r\n",
    "\r",
    // Names.
    "x a: b\r\n",
    "x-a : b\r\n",
    "x-a\t: b\r\n",
    "x\u{1}a: b\r\n",
    "x\u{7f}a: b\r\n",
    "x\ta: b\r\n",
    "x\0a: b\r\n",
    "x\u{e9}a: b\r\n",
    "x(a): b\r\n",
    "x[a]: b\r\n",
    "\"x\": b\r\n",
    "x/a: b\r\n",
    "content length: 7\r\n",
    "content-length : 7\r\n",
    "content\u{1}length: 7\r\n",
    // Values.
    "x-a: b\0c\r\n",
    "x-a: b\u{1}c\r\n",
    "x-a: b\u{7f}c\r\n",
    // Lengths.
    "content-length: abc\r\n",
    "content-length:\r\n",
    "content-length: -5\r\n",
    "content-length: 0x1d\r\n",
    "content-length: 3 20\r\n",
    "content-length: 99999999999999999999999\r\n",
    "content-length 29\r\n",
];

/// First lines that are none, or whose status is none of an answer.
const FIRST_LINES: [&str; 28] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 00 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2.0 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 \u{d9}\u{a2}\u{d9}\u{a0}\u{d9}\u{a0} OK",
    "HTTP/1.1  OK",
    "HTTP/1.1",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 601",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x",
    "HTTP/1.1200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/11 200 OK",
    "http/1.1 200 OK",
    "HTTQ/1.1 200 OK",
    " HTTP/1.1 200 OK",
    "200 OK",
    "HTTP/1.1 200 O\0K",
];

/// Heads that stop. The connection closes behind them.
const STOPPED: [&str; 8] = [
    "",
    "HTTP/1.",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\n{own}",
    "HTTP/1.1 200 OK\r\n{own}content-len",
    "HTTP/1.1 200 OK\r\n{own}content-length: 2",
    "HTTP/1.1 200 OK\r\n{own}content-length: {length}\r\n",
];

/// Answers that are sound, by what is odd in their writing.
fn sound() -> Vec<Form> {
    let on = [
        "HTTP/1.1 200 OK\r\n{own}content-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n{chunks}",
        "HTTP/1.1 200\r\n{own}content-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 \r\n{own}content-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}x-a: caf\u{e9}\r\ncontent-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}content-length:{length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}content-length:\t {length} \t\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}CONTENT-LENGTH: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}TRANSFER-ENCODING: \t CHUNKED \r\n\r\n{chunks}",
        "HTTP/1.1 200 OK\r\n{own}content-length: 000{length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}content-length: {length}\r\ncontent-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}content-length: {length}, {length}\r\n\r\n{body}",
        // Chunks go before a length (RFC 9112, 6.3).
        "HTTP/1.1 200 OK\r\n{own}content-length: 7\r\ntransfer-encoding: chunked\r\n\r\n{chunks}",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\ncontent-length: 7000\r\n\r\n{chunks}",
        "HTTP/1.1 200 OK\r\n{own}x-a:\r\nx-b: \r\ncontent-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}!#$%&'*+-.^_`|~09azAZ: b\r\ncontent-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n{own}content-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\ntrailer: x-a\r\n\r\n{length:x};x=y\r\n{body}\r\n0;z\r\nx-a: b\r\n\r\n",
    ];
    let closes = [
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}connection: x-a, Close\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}connection: x-a\r\nconnection: close\r\n\r\n{body}",
        "HTTP/1.0 200 OK\r\n{own}\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\ncontent-length: {length}\r\n\r\n{body}",
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunks}",
    ];
    let many = (0..60).map(|n| format!("x-{n}: b\r\n"));
    let many: String = many.collect();
    let many =
        format!("HTTP/1.1 200 OK\r\n{{own}}{many}content-length: {{length}}\r\n\r\n{{body}}");
    let on = on.map(|text| Form::new(text, Then::ServesOn));
    let closes = closes.map(|text| Form::new(text, Then::Closes));
    let many = [Form::new(many, Then::ServesOn)];
    on.into_iter().chain(closes).chain(many).collect()
}

/// Each text with a connection that closes, and with one that stays open.
fn closing_and_open(texts: impl IntoIterator<Item = String>) -> Vec<Form> {
    let forms = texts
        .into_iter()
        .flat_map(|text| [Then::Closes, Then::IsSilent].map(|then| Form::new(text.clone(), then)));
    forms.collect()
}

fn in_codings() -> Vec<Form> {
    let head =
        |coding| format!("HTTP/1.1 200 OK\r\n{{own}}transfer-encoding: {coding}\r\n\r\n{{chunks}}");
    closing_and_open(CODINGS.iter().map(head))
}

fn unframed() -> Vec<Form> {
    closing_and_open(UNFRAMED.map(String::from))
}

/// Spoilt heads, and the reasons by which they are counted.
fn one_of_each() -> [(Form, &'static str); 3] {
    let coding = "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunke\r\n\r\n{chunks}";
    let status = "HTTP/1.1 600 OK\r\n{own}content-length: {length}\r\n\r\n{body}";
    [
        (Form::new(coding, Then::IsSilent), "transfer-coding"),
        (Form::new(status, Then::IsSilent), "status"),
        (Form::new(UNFRAMED[0], Then::IsSilent), "unframed"),
    ]
}

/// Returns how many answers with a spoilt head a daemon has counted.
async fn spoilt_heads(daemon: &GatewayDaemon) -> f64 {
    let mut sum = 0.0;
    for (_, kind) in one_of_each() {
        for upstream in ["u0", "u1"] {
            let line = format!(
                "saddlepulley_foreign_answers_total{{upstream=\"{upstream}\",reason=\"{kind}\"}}"
            );
            sum += metric(daemon, &line).await;
        }
    }
    sum
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

/// Returns a list of what clients of all kinds of routes got that they should not, for each form of the only
/// upstream's answers.
async fn faults(
    forms: Vec<Form>,
    find: impl AsyncFn(&Form, &TestRoute, Response) -> Option<String>,
) -> Vec<String> {
    let find = &find;
    let faults = stream::iter(&forms).map(async |form| {
        let upstream = WrittenUpstream::start(form, Plays::Always).await;
        let daemon = GatewayDaemon::start(&routes_to(&[upstream.address])).await;
        let mut faults = Vec::new();
        for (n, route) in ROUTES.iter().enumerate() {
            let path = format!("{}x", route.prefix);
            let mut client = daemon.client().await;
            let answer = client.send(request(&format!("a{n}"), &path), "").await;
            let fault = match answer {
                Ok(answer) => find(form, route, answer).await,
                Err(e) => Some(format!("no answer: {e}")),
            };
            faults.extend(fault.map(|fault| format!("{form:?} on {path}: {fault}")));
        }
        eventually("the connections are closed", async || {
            upstream.open_requests() == 0
        })
        .await;
        faults
    });
    let faults: Vec<_> = faults.buffer_unordered(DAEMONS).collect().await;
    faults.concat()
}

/// The daemon's own 502: nothing of the upstream's answer, and not only at the deadline.
async fn is_refused(_: &Form, _: &TestRoute, answer: Response) -> Option<String> {
    let is_own = answer.header("saddlepulley-signature").is_empty();
    let is_refused = answer.status == StatusCode::BAD_GATEWAY && is_own;
    (!is_refused).then(|| format!("{answer:?}"))
}

async fn is_whole(_: &Form, route: &TestRoute, answer: Response) -> Option<String> {
    let due = match route.kind {
        "streaming" => EVENTS,
        _ => PLAIN_BODY,
    };
    let is_whole = answer.status == StatusCode::OK && answer.complete && answer.body == due;
    (!is_whole).then(|| format!("{answer:?}"))
}

#[tokio::test]
async fn a_body_in_an_unknown_transfer_coding_reaches_no_client() {
    let faults = faults(in_codings(), is_refused).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_body_whose_end_its_head_does_not_tell_reaches_no_client() {
    let faults = faults(unframed(), is_refused).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_status_or_first_line_that_is_none_reaches_no_client() {
    let texts = FIRST_LINES
        .map(|line| format!("{line}\r\n{{own}}content-length: {{length}}\r\n\r\n{{body}}"));
    let faults = faults(closing_and_open(texts), is_refused).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_head_with_a_line_that_is_no_field_reaches_no_client() {
    let lines = LINES.iter().filter(|line| !line.contains("content"));
    let texts = lines.map(|line| {
        format!("HTTP/1.1 200 OK\r\n{{own}}{line}content-length: {{length}}\r\n\r\n{{body}}")
    });
    let lengths = LINES.iter().filter(|line| line.contains("content"));
    let lengths = lengths.map(|line| format!("HTTP/1.1 200 OK\r\n{{own}}{line}\r\n{{body}}"));
    let faults = faults(closing_and_open(texts.chain(lengths)), is_refused).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_head_that_stops_reaches_no_client() {
    let forms = STOPPED.map(|text| Form::new(text, Then::Closes));
    let faults = faults(forms.into(), is_refused).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn sound_answers_reach_clients_whole_however_they_are_written() {
    let faults = faults(sound(), is_whole).await;
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

#[tokio::test]
async fn a_repeatable_request_gets_its_answer_elsewhere_after_a_spoilt_head() {
    for (form, _) in one_of_each() {
        let faulty = WrittenUpstream::start(&form, Plays::Always).await;
        let sound = Runner::start("u1", 3).await.unwrap();
        let daemon = GatewayDaemon::start(&routes_to(&[faulty.address, sound.address()])).await;
        for n in 0..REQUESTS {
            let (attempt, path) = (format!("a{n}"), ["/look/x", "/stream/resume/x"][n % 2]);
            let answer = daemon.client().await.fetch(&attempt, path, "").await;
            assert_eq!(answer.status, StatusCode::OK, "{form:?}: {answer:?}");
            let signature = format!("u1.{attempt}");
            assert_eq!(answer.header("saddlepulley-signature"), signature);
        }
        assert!(spoilt_heads(&daemon).await > 0.0, "it was asked: {form:?}");
    }
}

#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_after_a_spoilt_head() {
    for (form, _) in one_of_each() {
        let faulty = WrittenUpstream::start(&form, Plays::Always).await;
        let sound = Runner::start("u1", 3).await.unwrap();
        let daemon = GatewayDaemon::start(&routes_to(&[faulty.address, sound.address()])).await;
        let mut failed = Vec::new();
        for n in 0..REQUESTS {
            let (attempt, path) = (format!("a{n}"), ["/once/x", "/stream/once/x"][n % 2]);
            let answer = daemon.client().await.fetch(&attempt, path, "").await;
            match answer.status {
                StatusCode::OK => assert!(answer.complete, "{answer:?}"),
                StatusCode::BAD_GATEWAY => failed.push(attempt),
                _ => panic!("{form:?}: {answer:?}"),
            }
        }
        assert!(!failed.is_empty(), "it was asked: {form:?}");
        let ran = |attempt: &String| sound.runs().iter().any(|run| run.attempt == *attempt);
        assert!(!failed.iter().any(ran), "{form:?}: {failed:?}");
    }
}

#[tokio::test]
async fn a_stream_does_not_go_on_behind_a_spoilt_head() {
    for (form, _) in one_of_each() {
        let upstreams = [
            WrittenUpstream::start(&form, Plays::OnContinuation).await,
            WrittenUpstream::start(&form, Plays::OnContinuation).await,
        ];
        let addresses = upstreams.each_ref().map(|upstream| upstream.address);
        let daemon = GatewayDaemon::start(&routes_to(&addresses)).await;
        let mut client = daemon.client().await;
        let answer = client.fetch("a1", "/stream/resume/x", "").await;
        assert_eq!(answer.status, StatusCode::OK, "{form:?}: {answer:?}");
        assert!(!answer.complete, "{form:?}: {answer:?}");
        assert!(!answer.body.contains("id: 3"), "{form:?}: {answer:?}");
        assert!(spoilt_heads(&daemon).await > 0.0, "{form:?}: {answer:?}");
    }
}

#[tokio::test]
async fn a_stream_that_goes_on_elsewhere_is_not_cut_at_the_length_of_its_first_run() {
    const BROKEN_OFF_AFTER: usize = 3;
    let whole: Vec<Vec<u8>> = (1..=EVENTS_OF_A_SCRIPT).map(event).collect();
    let length = whole.concat().len();
    let mut first = Script::new(move |_| whole[..BROKEN_OFF_AFTER].to_vec());
    first.head = format!("content-type: text/event-stream\r\ncontent-length: {length}\r\n").leak();
    // The same events, in more bytes.
    let later = Script::new(|after| {
        let events = (after + 1..=EVENTS_OF_A_SCRIPT).map(|n| format!("id: {n}\ndata:  {n} \n\n"));
        events.map(String::into_bytes).collect()
    });
    let scripts = Scripts::new(first, later);
    let upstreams = [
        ScriptedUpstream::start(scripts.clone()).await,
        ScriptedUpstream::start(scripts).await,
    ];
    let daemon = GatewayDaemon::start(&routes_to(&upstreams.each_ref().map(|u| u.address))).await;
    let mut client = daemon.client().await;
    let answer = client.fetch("a1", "/stream/resume/x", "").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert!(answer.complete, "{answer:?}");
    let events = answer.body.matches("data:").count() as u64;
    assert_eq!(events, EVENTS_OF_A_SCRIPT, "{answer:?}");
    assert!(answer.body.ends_with("\n\n"), "{answer:?}");
}

/// Starts a daemon that reaches an upstream no more, and one that relays its requests.
async fn start_behind(link: &CutProxy, upstream: SocketAddr) -> [GatewayDaemon; 2] {
    let cut = GatewayDaemon::spawn_on_file("n0", &routes_to(&[link.address()]), Vec::new());
    let relay = GatewayDaemon::spawn_on_file("n1", &routes_to(&[upstream]), vec![cut.peers]);
    until_they_know_each_other(&[&cut, &relay]).await;
    link.set(LinkState::Reset);
    [cut, relay]
}

#[tokio::test]
async fn a_head_that_stops_is_no_continuation_of_a_stream() {
    for text in STOPPED {
        let form = Form::new(text, Then::Closes);
        let upstreams = [
            WrittenUpstream::start(&form, Plays::OnContinuation).await,
            WrittenUpstream::start(&form, Plays::OnContinuation).await,
        ];
        let addresses = upstreams.each_ref().map(|upstream| upstream.address);
        let daemon = GatewayDaemon::start(&routes_to(&addresses)).await;
        let mut client = daemon.client().await;
        let answer = client.fetch("a1", "/stream/resume/x", "").await;
        assert!(!answer.complete, "{form:?}: {answer:?}");
        assert!(!answer.body.contains("id: 3"), "{form:?}: {answer:?}");
    }
}

#[tokio::test]
async fn a_head_that_stops_reaches_no_client_through_a_relay() {
    for text in STOPPED {
        let form = Form::new(text, Then::Closes);
        let upstream = WrittenUpstream::start(&form, Plays::Always).await;
        let link = CutProxy::start(upstream.address).await;
        let [cut, relay] = start_behind(&link, upstream.address).await;
        let relayed = "saddlepulley_relayed_for_others_total{outcome=\"cut-off\"}";
        for (n, route) in ROUTES.iter().enumerate() {
            eventually("a request is relayed", async || {
                let before = metric(&relay, relayed).await;
                let path = format!("{}x", route.prefix);
                let answer = cut.client().await.fetch(&format!("a{n}"), &path, "").await;
                assert!(!answer.status.is_success(), "{form:?}: {answer:?}");
                metric(&relay, relayed).await > before
            })
            .await;
        }
    }
}

#[tokio::test]
async fn a_relay_passes_no_spoilt_head_on_and_closes_its_connection() {
    for (form, kind) in one_of_each() {
        let upstream = WrittenUpstream::start(&form, Plays::Always).await;
        let link = CutProxy::start(upstream.address).await;
        let [cut, relay] = start_behind(&link, upstream.address).await;
        let found =
            format!("saddlepulley_foreign_answers_total{{upstream=\"u0\",reason=\"{kind}\"}}");
        for (n, route) in ROUTES.iter().enumerate() {
            eventually("a request is relayed", async || {
                let before = metric(&relay, &found).await;
                let path = format!("{}x", route.prefix);
                let answer = cut.client().await.fetch(&format!("a{n}"), &path, "").await;
                assert!(!answer.status.is_success(), "{form:?}: {answer:?}");
                assert_eq!(answer.header("saddlepulley-signature"), "", "{answer:?}");
                metric(&relay, &found).await > before
            })
            .await;
        }
        eventually("the connections are closed", async || {
            upstream.open_requests() == 0
        })
        .await;
    }
}
