/// Retry time named to a request that has to wait for the next notices, in milliseconds.
const NEXT_NOTICE_MS: u64 = 150;

/// Why a request is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaWait {
    /// The quota is used up; the value is the time until it suffices, in milliseconds.
    UsedUp(u64),
    /// This daemon has admitted its share since its last notice to the other daemons. It may
    /// admit more after the next notice.
    NotYetDue,
}

impl QuotaWait {
    /// Returns the time after which the request may be retried, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::UsedUp(wait_ms) => wait_ms,
            Self::NotYetDue => NEXT_NOTICE_MS,
        }
    }
}
