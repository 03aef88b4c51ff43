use crate::names::FailureDomain;

/// The domain that a request is sent to, and the figures that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAway {
    /// The domain.
    pub to: FailureDomain,
    /// The estimated time to the first event there, in milliseconds, with the cost of sending the prompt
    /// ([`SpreadRequest::way_ms`](super::SpreadRequest::way_ms)).
    pub there_ms: f64,
    /// The work that this hub may still send there, in milliseconds.
    pub room_ms: f64,
    /// The age of the domain's newest figure, in milliseconds.
    pub age_ms: u64,
    /// The current [`SendingShare`](super::SendingShare).
    pub share: f64,
}
