use std::time::Duration;

/// The failure of a call over HTTP, which also says if the call can have had an effect.
///
/// The texts reach clients in the details of a failed request.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum HttpError {
    /// no connection: {0}
    NotConnected(String),
    /// refused before it started, with status {0}
    NotStarted(u16),
    /// answered with status {0}
    Status(u16),
    /// cut off: {0}
    Broken(String),
    /// no answer within {0:?}
    Timeout(Duration),
    /// an answer that can't be read: {0}
    Malformed(String),
}

impl HttpError {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::NotConnected(_) | Self::NotStarted(_))
    }
}
