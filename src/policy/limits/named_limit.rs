use super::RequestRate;

/// The rate limit that an upstream names in the headers of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// The answer names no limit: there is none, or no longer.
    Absent,
    /// The answer names a limit.
    Rate(RequestRate),
    /// The answer's header holds no valid rate; the known limit stays as it is.
    Unreadable,
}

impl NamedLimit {
    /// Parses the values of an answer's header; of several valid values the lowest counts.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut named = Self::Absent;
        for value in values {
            named = match (named, RequestRate::parse(value)) {
                (Self::Rate(known), Some(rate)) if known <= rate => Self::Rate(known),
                (_, Some(rate)) => Self::Rate(rate),
                (Self::Rate(known), None) => Self::Rate(known),
                (_, None) => Self::Unreadable,
            };
        }
        named
    }
}
