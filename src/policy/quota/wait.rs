/// After how long a request that is out of turn may come back, in milliseconds.
const NEXT_TURN_MS: u64 = 150;

/// Why a request is not let in now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaWait {
    /// The quota is used up for so many milliseconds.
    UsedUp(u64),
    /// This daemon has let its part in since others last heard of it: after the
    /// next notice it may go on.
    NotYetDue,
}

impl QuotaWait {
    /// Returns after how many milliseconds the request may come back.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::UsedUp(wait_ms) => wait_ms,
            Self::NotYetDue => NEXT_TURN_MS,
        }
    }
}
