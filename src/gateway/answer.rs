use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    http::{HeaderMap, HeaderValue, Response, StatusCode, header, response::Parts},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    std::{convert::Infallible, io, time::Duration},
};

/// The body of an answer to a client.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// How large the pieces of a body are that goes out piece by piece, in bytes:
/// some packets, little beside what a connection buffers.
const PIECE_BYTES: usize = 16 * 1024;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Removes the headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Makes a body of known bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes a body of known bytes that goes out piece by piece. It keeps `held`
/// until the connection has taken the last one.
pub fn chunked_body(bytes: Bytes, held: impl Send + 'static) -> AnswerBody {
    let pieces = (0..bytes.len()).step_by(PIECE_BYTES);
    let pieces = pieces.map(move |at| bytes.slice(at..bytes.len().min(at + PIECE_BYTES)));
    let frames = stream::iter(pieces).map(move |piece| {
        let _ = &held;
        Ok(Frame::data(piece))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Makes an answer of our own.
pub fn local_response(status: StatusCode, detail: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(format!("{detail}\n")));
    *answer.status_mut() = status;
    answer
}

/// Makes a refusal: the request has not run and never will.
pub fn refusal(status: StatusCode, detail: &str, retry_after: Duration) -> Response<AnswerBody> {
    let mut answer = local_response(status, detail);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Makes an answer with an upstream's head.
pub fn relayed(mut head: Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, body)
}
