use std::fmt;

/// How many requests an upstream may have to reject within a second for want of room. With one more,
/// it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionBound(u32);

impl RejectionBound {
    /// Creates a bound.
    pub fn new(per_s: u32) -> Self {
        Self(per_s)
    }

    /// Parses the number of a header; `None` for anything else.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(text).ok()?.trim();
        let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        // A number that is too large to be stored is as good as none.
        is_number.then(|| Self(text.parse().unwrap_or(u32::MAX)))
    }

    /// Returns the number of rejections per second.
    pub fn per_s(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RejectionBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
