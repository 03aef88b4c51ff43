use crate::names::UpstreamId;

/// One answer of an upstream that shows how fast it is.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedSample {
    /// The upstream that answered.
    pub upstream: UpstreamId,
    /// Prompt tokens of other requests that waited there when the request was placed.
    pub waiting_tokens: u64,
    /// Prompt tokens of the request itself that the upstream had to read.
    pub unread_tokens: u64,
    /// Time from sending the request to the first event of its answer, in milliseconds.
    pub after_ms: f64,
}

impl SpeedSample {
    /// Returns the prompt tokens that the upstream had to read before the first event.
    pub fn tokens(&self) -> f64 {
        self.waiting_tokens as f64 + self.unread_tokens as f64
    }

    /// Returns how certain the number of tokens is, from 0 to 1. Waiting tokens count half: they are
    /// reported with a delay, and may have been read in part.
    pub(super) fn certainty(&self) -> f64 {
        (self.unread_tokens as f64 + self.waiting_tokens as f64 / 2.0) / self.tokens().max(1.0)
    }

    /// Returns whether the time is finite and positive.
    pub fn is_valid(&self) -> bool {
        self.after_ms.is_finite() && self.after_ms > 0.0
    }
}
