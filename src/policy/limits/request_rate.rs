use std::fmt;

/// The longest text that is parsed as a rate, in bytes; more digits add no precision.
const MAX_TEXT_BYTES: usize = 32;

/// The number of requests per second that an upstream accepts from all daemons together:
/// finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` if the number is negative or not finite.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }

    /// Parses the decimal number of a header; `None` for anything else.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(text).ok()?.trim();
        let is_plain = |c: char| c.is_ascii_digit() || c == '.';
        if text.len() > MAX_TEXT_BYTES || !text.chars().all(is_plain) {
            return None;
        }
        Self::new(text.parse().ok()?)
    }

    /// Returns the number of requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
