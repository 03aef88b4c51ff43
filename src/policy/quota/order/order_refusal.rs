use crate::policy::QuotaWait;

/// Why a request is not admitted in the order of its account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderRefusal {
    /// The quota is not short, so the order doesn't apply: the account itself refuses the request.
    Unordered(QuotaWait),
    /// The request has a turn after this time, in milliseconds.
    Turn(u64),
    /// The turn of the request has come, but the quota does not admit it yet. It keeps its turn.
    Missed(QuotaWait),
    /// No turn is given, since the client would not wait for it. The value is the time after which the
    /// units are expected, in milliseconds.
    NoTurn(u64),
}

impl OrderRefusal {
    /// Returns the time after which the request may be retried, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::Unordered(wait) | Self::Missed(wait) => wait.retry_after_ms(),
            Self::Turn(wait_ms) | Self::NoTurn(wait_ms) => wait_ms,
        }
    }
}
