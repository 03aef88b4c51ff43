use {
    super::{Body, full},
    crate::{app::Refusal, names::*, requests::*},
    http::{HeaderValue, Response, StatusCode, header},
    serde::Serialize,
};

/// A problem document (RFC 9457) with a typed outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// What kind of problem it is.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind in words.
    pub title: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What the caller can rely on.
    pub outcome: Outcome,
    /// The reason, for people.
    pub detail: String,
    /// The request, once it has an identifier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
}

impl Problem {
    /// Makes the document for a failure.
    pub fn new(status: u16, failure: &Failure, request: Option<RequestId>) -> Self {
        let title = match failure.outcome {
            Outcome::NotRun => "The request did not run",
            Outcome::MayHaveRun => "The request may have run",
            Outcome::Expired => "The deadline passed",
            Outcome::Malformed => "The request can't be understood",
            Outcome::Completed => "The request ran, and its answer is no longer held",
        };
        Self {
            kind: format!("urn:saddlepulley:{}", failure.outcome.as_str()),
            title,
            status,
            outcome: failure.outcome,
            detail: failure.detail.clone(),
            request,
        }
    }
}

/// Returns the HTTP status for a request that was given up on.
pub fn status_of(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::NotRun => 503,
        Outcome::MayHaveRun => 502,
        Outcome::Expired => 504,
        Outcome::Malformed => 400,
        Outcome::Completed => 410,
    }
}

/// Returns the answer for a refusal.
pub fn refusal_response(r: &Refusal, request: Option<RequestId>) -> Response<Body> {
    problem_response(r.status, &r.failure, request)
}

/// Returns the answer for a failure.
pub fn problem_response(status: u16, failure: &Failure, request: Option<RequestId>) -> Response<Body> {
    let doc = Problem::new(status, failure, request);
    let bytes = serde_json::to_vec(&doc).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, kind);
    let outcome = HeaderValue::from_static(failure.outcome.as_str());
    headers.insert("saddlepulley-outcome", outcome);
    if failure.retry_after_ms > 0 {
        let seconds = failure.retry_after_ms.div_ceil(1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
