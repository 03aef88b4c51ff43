use {
    super::{Body, full},
    crate::{app::Refusal, names::*, requests::*},
    http::{HeaderValue, Response, StatusCode, header},
    serde::Serialize,
};

/// A problem document (RFC 9457) with a typed outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The URN that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short description of the kind.
    pub title: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What the caller can assume about the run of the request.
    pub outcome: Outcome,
    /// The reason of this failure, for human readers.
    pub detail: String,
    /// The request's identifier, if it has one yet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
}

impl Problem {
    /// Creates the document for a failure.
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

/// Returns the HTTP status for the outcome of a failed request.
pub fn status_of(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::NotRun => 503,
        Outcome::MayHaveRun => 502,
        Outcome::Expired => 504,
        Outcome::Malformed => 400,
        Outcome::Completed => 410,
    }
}

/// Returns the response for a refused request.
pub fn refusal_response(r: &Refusal, request: Option<RequestId>) -> Response<Body> {
    problem_response(r.status, &r.failure, request)
}

/// Returns the response for a failure: a problem document, with the outcome and the retry time
/// in headers as well.
pub fn problem_response(
    status: u16,
    failure: &Failure,
    request: Option<RequestId>,
) -> Response<Body> {
    let doc = Problem::new(status, failure, request);
    let bytes = serde_json::to_vec(&doc).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
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
