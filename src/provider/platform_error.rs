use crate::http::HttpError;

/// Says how a call to the platform failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// the platform did not take it: {0}
    NotAccepted(HttpError),
    /// the platform may or may not have taken it: {0}
    Unknown(HttpError),
    /// refused: an older fencing token
    Fenced,
    /// refused: no capacity or over the rate
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
