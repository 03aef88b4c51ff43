use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{Response, StatusCode},
    serde::Serialize,
    std::convert::Infallible,
};

/// The body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut rep = Response::new(Full::new(Bytes::from(bytes)).boxed());
    *rep.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    rep.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    rep
}

/// Returns a response with a text body.
pub fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut rep = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())).boxed());
    *rep.status_mut() = status;
    rep
}

/// Returns a refusal whose header `x-not-started` states that the request was not executed.
pub fn not_started(status: StatusCode) -> Response<Body> {
    let mut rep = text(status, "not started");
    let yes = hyper::header::HeaderValue::from_static("true");
    rep.headers_mut().insert("x-not-started", yes);
    rep
}
