//! Answers to the daemon's own calls, to the store, the cloud API and engines, whose heads are spoilt.

use {
    crate::{faulty_upstream::*, support::eventually, written_upstream::*},
    bytes::Bytes,
    http::HeaderMap,
    saddlepulley::http::{HttpClient, HttpError, call_once, request},
    std::{net::SocketAddr, time::Duration},
};

/// Longer than a sound answer takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);

const SPOILT: [&str; 6] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n{chunks}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n{chunks}",
    "HTTP/1.1 200 OK\r\nstore-era: 1\r\n\r\ncontent-length: {length}\r\n\r\n{body}",
    "HTTP/1.1 200 OK\r\ncontent-lemgth: {length}\r\n\r\n{half}",
    "HTTP/1.1 600 OK\r\ncontent-length: {length}\r\n\r\n{body}",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n{body}",
];

const SOUND: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}",
    "HTTP/1.0 200 OK\r\n\r\n{body}",
];

/// Bytes without end, by their beginning and what is repeated.
const ENDLESS: [(&str, &str); 6] = [
    ("", "\u{1}garbage"),
    ("HTTP/1.1 200 OK\r\nx-a: ", "x"),
    ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    (
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        "the same kilobytes of a body again and again, ",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "28\r\nthe same kilobytes of a body, in chunks \r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "x",
    ),
];

/// Heads that stop. The connection closes behind them.
const STOPPED: [&str; 4] = [
    "",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: 2",
    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n",
];

async fn call_pooled(address: SocketAddr) -> Result<Bytes, HttpError> {
    let call = request("GET", address, "/x", &HeaderMap::new(), Bytes::new())?;
    HttpClient::default().call(call, TIMEOUT).await
}

async fn call_on_its_own(address: SocketAddr) -> Result<Bytes, HttpError> {
    let call = request("POST", address, "/x", &HeaderMap::new(), Bytes::new())?;
    let (_, body) = call_once(address, call, TIMEOUT).await?;
    Ok(body)
}

#[tokio::test]
async fn an_answer_to_a_call_with_a_spoilt_head_is_not_believed() {
    for text in SPOILT {
        for then in [Then::Closes, Then::IsSilent] {
            let form = Form::new(text, then);
            let server = WrittenUpstream::start(&form, Plays::Always).await;
            let answers = [
                call_pooled(server.address).await,
                call_on_its_own(server.address).await,
            ];
            for answer in answers {
                let is_malformed = matches!(answer, Err(HttpError::Malformed(_)));
                assert!(is_malformed, "{form:?}: {answer:?}");
            }
        }
    }
}

#[tokio::test]
async fn an_answer_to_a_call_whose_head_stops_is_not_believed() {
    for text in STOPPED {
        let form = Form::new(text, Then::Closes);
        let server = WrittenUpstream::start(&form, Plays::Always).await;
        assert!(call_pooled(server.address).await.is_err(), "{form:?}");
        assert!(call_on_its_own(server.address).await.is_err(), "{form:?}");
    }
}

#[tokio::test]
async fn an_answer_to_a_call_without_end_is_not_read_further_than_a_limit() {
    for (beginning, repeated) in ENDLESS {
        let fault = Fault {
            name: beginning,
            beginning,
            repeated,
            ..SILENT
        };
        let server = FaultyUpstream::start(fault, Plays::Always).await;
        for answer in [
            call_pooled(server.address()).await,
            call_on_its_own(server.address()).await,
        ] {
            let is_cut_off = matches!(answer, Err(HttpError::Broken(_)));
            assert!(is_cut_off, "{beginning:?} {repeated:?}: {answer:?}");
        }
        eventually("the connections are closed", async || {
            server.open_requests() == 0
        })
        .await;
    }
}

#[tokio::test]
async fn a_sound_answer_to_a_call_is_read_whole() {
    for text in SOUND {
        let form = Form::new(text, Then::Closes);
        let server = WrittenUpstream::start(&form, Plays::Always).await;
        assert_eq!(call_pooled(server.address).await.unwrap(), PLAIN_BODY);
        assert_eq!(call_on_its_own(server.address).await.unwrap(), PLAIN_BODY);
    }
}
