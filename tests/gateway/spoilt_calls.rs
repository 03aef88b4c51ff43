//! Answers to the daemon's own calls, to the store, the cloud API and engines, whose heads are spoilt.

use {
    crate::{faulty_upstream::Plays, written_upstream::*},
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
async fn a_sound_answer_to_a_call_is_read_whole() {
    for text in SOUND {
        let form = Form::new(text, Then::Closes);
        let server = WrittenUpstream::start(&form, Plays::Always).await;
        assert_eq!(call_pooled(server.address).await.unwrap(), PLAIN_BODY);
        assert_eq!(call_on_its_own(server.address).await.unwrap(), PLAIN_BODY);
    }
}
