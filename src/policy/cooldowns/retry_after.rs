use std::time::Duration;

/// Maximum length of a header value that is parsed, in bytes. More digits add no useful
/// precision.
const MAX_TEXT_BYTES: usize = 32;

/// The retry time in an upstream's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// The refusal names no retry time.
    Absent,
    /// The upstream is not to be sent requests of this daemon for this time.
    For(Duration),
    /// The header value is not a number of seconds and is ignored.
    Unreadable,
}

impl RetryAfter {
    /// Parses the header values of a refusal, each a plain decimal number of seconds. Of
    /// several valid values, the longest applies.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut named = Self::Absent;
        for value in values {
            named = match (named, seconds(value)) {
                (Self::For(longest), Some(time)) => Self::For(longest.max(time)),
                (Self::For(longest), None) => Self::For(longest),
                (_, Some(time)) => Self::For(time),
                (_, None) => Self::Unreadable,
            };
        }
        named
    }
}

fn seconds(text: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(text).ok()?.trim();
    let is_plain = |c: char| c.is_ascii_digit() || c == '.';
    if text.len() > MAX_TEXT_BYTES || !text.chars().all(is_plain) {
        return None;
    }
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}
