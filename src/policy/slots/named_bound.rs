use super::RejectionBound;

/// The bound on rejections that an upstream names in the headers of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedBound {
    /// The answer names no bound: there is none, or no longer.
    Absent,
    /// The answer names a bound.
    Bound(RejectionBound),
    /// The answer's header holds no number; what is known stays as it is.
    Unreadable,
}

impl NamedBound {
    /// Parses the values of an answer's header; of several valid values the lowest counts.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut has_value = false;
        let values = values.into_iter().inspect(|_| has_value = true);
        match values.filter_map(RejectionBound::parse).min() {
            Some(bound) => Self::Bound(bound),
            None if has_value => Self::Unreadable,
            None => Self::Absent,
        }
    }
}
