use crate::names::PartFingerprint;

/// An answer shows that a part did not cause a crash if it has gone on for this multiple of the time for
/// which the requests with the part were being answered at that crash, since a part that crashes
/// upstreams does so after about the same time.
const SURVIVAL_FACTOR: u64 = 2;
/// Minimum time for which it has gone on beyond that, in milliseconds.
const SURVIVAL_MARGIN_MS: u64 = 500;

/// An answer to a prompt with a part that an upstream survived, as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownSurvival {
    /// The part.
    pub part: PartFingerprint,
    /// For how long the upstream had been answering by then, in milliseconds; none if the answer was
    /// whole.
    pub answering_ms: Option<u64>,
    /// The time since then, in milliseconds.
    pub age_ms: u64,
}

/// The last answer to a prompt with a part that cleared the part of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Survival {
    /// For how long the upstream had been answering, in milliseconds; none if the answer was whole.
    pub answering_ms: Option<u64>,
    /// When that was, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
    /// How many more times it is announced.
    pub announcements_left: u8,
    /// It is announced to other hubs, not only to members.
    pub announces_to_hubs: bool,
    /// It has been announced, or is to be: it cleared a part of a crash.
    pub is_announced: bool,
}

impl Survival {
    /// Lets this daemon announce it a number of times.
    pub fn announce(&mut self, times: u8) {
        self.announcements_left = times;
        self.is_announced = true;
    }

    /// Returns whether this shows that the part did not cause a crash at `crash_ms`, when requests with it
    /// had been answered for `answering_ms`.
    pub fn clears(&self, crash_ms: u64, answering_ms: u64) -> bool {
        let needed_ms = answering_ms.saturating_mul(SURVIVAL_FACTOR);
        let needed_ms = needed_ms.saturating_add(SURVIVAL_MARGIN_MS);
        let is_long = self.answering_ms.is_none_or(|ms| ms >= needed_ms);
        self.at_ms >= crash_ms && is_long
    }
}
