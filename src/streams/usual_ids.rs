use super::UsualNumber;

/// The ids that the streams of a service have, as far as its answers have shown them. That ids rise is certain;
/// by how much is up to the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsualIds {
    /// The id of a stream's first event.
    pub first: UsualNumber,
    /// By how much ids rise from one event to the next.
    pub step: UsualNumber,
}

impl UsualIds {
    /// Returns the id of a stream's first event, if it is known.
    pub fn first_due(&self) -> Option<u64> {
        match self.first {
            UsualNumber::Always(first) => Some(first),
            _ => None,
        }
    }

    /// Returns the id that follows another one, if it is known.
    pub fn due_after(&self, last: u64) -> Option<u64> {
        match self.step {
            UsualNumber::Always(step) => last.checked_add(step),
            _ => None,
        }
    }

    /// Returns whether an event of the service may have an id. A client may name any.
    pub fn may_have(&self, id: u64) -> bool {
        match (self.first, self.step) {
            (UsualNumber::Always(first), UsualNumber::Always(step)) => {
                id >= first && (id - first).is_multiple_of(step)
            }
            _ => false,
        }
    }
}
