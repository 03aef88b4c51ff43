use {
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    http::{HeaderMap, HeaderValue, Response, StatusCode, header, response::Parts},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    std::{convert::Infallible, io, time::Duration},
    tokio::task::yield_now,
};

/// The body of a response to a client.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Size of the chunks in which `chunked_body` hands out a body, in bytes: a few packets, and
/// small compared to the send buffer of a connection.
const CHUNK_BYTES: usize = 16 * 1024;

/// Hop-by-hop headers, which apply to a single connection.
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

/// Removes the hop-by-hop headers, including those that `Connection` names.
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

/// Builds a body from complete bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Builds a body that hands out `bytes` in chunks. It keeps `held` until the connection has
/// taken the last chunk.
pub fn chunked_body(bytes: Bytes, held: impl Send + 'static) -> AnswerBody {
    let chunks = (0..bytes.len()).step_by(CHUNK_BYTES);
    let chunks = chunks.map(move |at| bytes.slice(at..bytes.len().min(at + CHUNK_BYTES)));
    let frames = stream::iter(chunks).map(move |chunk| {
        let _ = &held;
        Ok(Frame::data(chunk))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Builds a body from the chunks of an answer that may break off.
pub fn streamed_body(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> AnswerBody {
    let frames = chunks.then(|chunk| async move {
        if chunk.is_err() {
            // The connection writes what it has before it learns of the error, and drops it afterwards.
            yield_now().await;
        }
        chunk.map(Frame::data)
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Builds a response that this daemon makes itself.
pub fn local_response(status: StatusCode, detail: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(format!("{detail}\n")));
    *answer.status_mut() = status;
    answer
}

/// Builds a refusal, which guarantees to the client that the request has not run and never will.
pub fn refusal(status: StatusCode, detail: &str, retry_after: Duration) -> Response<AnswerBody> {
    let mut answer = local_response(status, detail);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Builds the response to the client from the head of an upstream's response.
pub fn relayed(mut head: Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, body)
}
