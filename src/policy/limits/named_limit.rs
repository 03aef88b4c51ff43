use super::RequestRate;

/// What an answer says of how much its upstream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// It names no limit: there is none, or no longer.
    Absent,
    /// It names one.
    Rate(RequestRate),
    /// It names something that is no rate: nothing is learned from it.
    Unreadable,
}

impl NamedLimit {
    /// Reads the values of an answer's header: the lowest, where there are several.
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
