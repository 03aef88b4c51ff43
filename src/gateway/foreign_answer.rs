//! Tells answers to a request from other bytes that an upstream sends on its connection: faulty upstreams spoil
//! the heads of answers, or send more than a whole answer, and the surplus arrives in the place of the next one.

use {
    super::HeaderNames,
    crate::http::HeadFault,
    displaydoc::Display,
    http::{HeaderMap, StatusCode, header, response::Parts},
};

/// Why a response is not the answer to a request. Nothing follows from it about the request, which may run.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum ForeignAnswer {
    /// its head can't be right: {0}
    BadHead(HeadFault),
    /// it names another attempt
    OtherAttempt,
    /// it names no attempt and does not state that the request has not run
    NoAttempt,
    /// it is a success without a signature
    Unsigned,
    /// it is a success in an encoding that the client did not ask for
    Encoded,
}

impl ForeignAnswer {
    /// Returns why a response head is not the answer to a request with the given headers, or `None` if it is.
    ///
    /// Upstreams name the attempt in all answers but those by which they turn a request away unread.
    pub fn find(names: &HeaderNames, request: &HeaderMap, answer: &Parts) -> Option<Self> {
        let headers = &answer.headers;
        let is_success = answer.status.is_success();
        let is_refusal = answer.status == StatusCode::MISDIRECTED_REQUEST
            || !is_success && headers.contains_key(&names.not_run);
        match answer.extensions.get::<HeadFault>() {
            None => {}
            // Nobody reads the body of a refusal.
            Some(HeadFault::Unframed) if is_refusal => {}
            Some(fault) => return Some(Self::BadHead(fault.clone())),
        }
        let expected = request.get(&names.attempt_id);
        match (expected, headers.get(&names.attempt_id)) {
            (Some(expected), Some(named)) if named != expected => Some(Self::OtherAttempt),
            (Some(_), None) if !is_refusal => Some(Self::NoAttempt),
            _ if is_success && !headers.contains_key(&names.signature) => Some(Self::Unsigned),
            _ if is_success && has_foreign_encoding(request, headers) => Some(Self::Encoded),
            _ => None,
        }
    }

    /// Returns the name of the reason for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::BadHead(fault) => fault.kind(),
            Self::OtherAttempt => "other-attempt",
            Self::NoAttempt => "no-attempt",
            Self::Unsigned => "unsigned",
            Self::Encoded => "encoded",
        }
    }
}

/// Returns whether a body is in an encoding that its request doesn't name. A client that names none takes
/// the bytes for the body itself.
fn has_foreign_encoding(request: &HeaderMap, answer: &HeaderMap) -> bool {
    let accepted = request.get_all(header::ACCEPT_ENCODING);
    let accepted: Vec<&str> = accepted.iter().filter_map(|v| v.to_str().ok()).collect();
    let mut encodings = answer.get_all(header::CONTENT_ENCODING).iter();
    encodings.any(|encoding| {
        let encoding = encoding.to_str().unwrap_or_default().trim();
        !encoding.eq_ignore_ascii_case("identity") && !is_named(&accepted, encoding)
    })
}

/// Returns whether the lines of a list name an encoding.
fn is_named(lines: &[&str], encoding: &str) -> bool {
    let mut items = lines.iter().flat_map(|line| line.split(','));
    items.any(|item| {
        let name = item.split(';').next().unwrap_or_default();
        name.trim().eq_ignore_ascii_case(encoding)
    })
}
