use std::fmt;

/// The longest text that is read as a rate, in bytes: more digits say nothing.
const MAX_TEXT_BYTES: usize = 32;

/// How many requests a second an upstream takes from all daemons together: finite, and
/// not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Makes the rate of a number; none of one that can't be a rate.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }

    /// Reads a decimal number, as a header holds it; none of anything else.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(text).ok()?.trim();
        let is_plain = |c: char| c.is_ascii_digit() || c == '.';
        if text.len() > MAX_TEXT_BYTES || !text.chars().all(is_plain) {
            return None;
        }
        Self::new(text.parse().ok()?)
    }

    /// Returns the requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
