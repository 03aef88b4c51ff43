use {
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    serde::Serialize,
    std::convert::Infallible,
};

/// The body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Returns a body that consists of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
