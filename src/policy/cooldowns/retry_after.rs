use std::time::Duration;

/// The longest text that is read as a time, in bytes: more digits say nothing.
const MAX_TEXT_BYTES: usize = 32;

/// When an upstream that refused a request may be sent requests again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// It names no time.
    Absent,
    /// It wants nothing from this daemon for so long.
    For(Duration),
    /// It names something that is no number of seconds: nothing is learned from it.
    Unreadable,
}

impl RetryAfter {
    /// Reads the values of a refusal's header, plain decimal numbers of seconds: the
    /// longest, where there are several.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut named = Self::Absent;
        for value in values {
            named = match (named, seconds(value)) {
                (Self::For(known), Some(time)) => Self::For(known.max(time)),
                (Self::For(known), None) => Self::For(known),
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
