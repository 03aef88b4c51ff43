use crate::http::HttpError;

/// The failure of a call to the platform.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// the platform did not accept the call: {0}
    NotAccepted(HttpError),
    /// the platform may have accepted the call: {0}
    Unknown(HttpError),
    /// the platform refused the call: older fencing token
    Fenced,
    /// the platform refused the call: no capacity, or rate limit reached
    Refused,
}

impl From<HttpError> for PlatformError {
    fn from(e: HttpError) -> Self {
        match e {
            HttpError::Status(409) => Self::Fenced,
            HttpError::Status(429 | 503) => Self::Refused,
            e if e.had_no_effect() => Self::NotAccepted(e),
            e => Self::Unknown(e),
        }
    }
}
