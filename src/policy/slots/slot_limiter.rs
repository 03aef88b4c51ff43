use {
    super::{RejectionBound, SlotRelease},
    std::collections::{HashMap, VecDeque},
};

/// The period for which upstreams bound their rejections, in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// How long after a slot is given out a rejection of its request may still be unknown, in milliseconds:
/// an upstream rejects at once, and the way there and back is short.
const AT_RISK_MS: u64 = 100;
/// The same for requests that the upstream is likely to take. A rejection is usually known by then.
const PROVEN_AT_RISK_MS: u64 = 50;
/// For how long a number of requests that the upstream took counts as one that it takes, in
/// milliseconds: longer than most requests run.
const PROVEN_MS: u64 = 3_000;
/// Part of the bound that is used: some requests come from daemons that ask for no slots.
const USED_PART: f64 = 0.5;
/// Factor by which the limit shrinks with a rejection.
const BACKOFF_FACTOR: f64 = 0.9;
/// Interval at which the limit shrinks at most, in milliseconds: rejections that come together have
/// one cause.
const BACKOFF_INTERVAL_MS: u64 = 100;
/// Bounds of the time after a rejection for which the limit does not grow, in milliseconds. It doubles
/// with each rejection, and halves with each step of growth.
const MIN_HOLD_MS: u64 = 1_000;
const MAX_HOLD_MS: u64 = 8_000;
/// Wait that is named where it is not known when a slot is free, in milliseconds.
const SHORT_WAIT_MS: u64 = 10;

#[derive(Clone, Copy, Debug)]
struct Granted {
    at_ms: u64,
    /// When the slot is free at the latest, also if its release is lost.
    until_ms: u64,
    /// How many requests were at the upstream with this one.
    present: usize,
}

/// Gives out the slots of one upstream that bears few rejections. Times are milliseconds of the daemon's
/// steady clock.
///
/// The load that it answers: more requests than such an upstream takes, from many daemons that each know
/// only a part of its load. Slots keep the requests there within a limit, which shrinks by a part with
/// rejections and grows in steps while none come. And only so many requests may be on their way there
/// at a time that the bound holds even if the upstream rejects them all, since this daemon may know too
/// little: after its start, or after the upstream's.
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    limit: f64,
    last_number: u64,
    granted: HashMap<u64, Granted>,
    /// When requests were rejected, in the last period.
    rejected_ms: VecDeque<u64>,
    shrunk_ms: Option<u64>,
    /// When the limit may grow again.
    grows_ms: u64,
    hold_ms: u64,
    /// A slot was denied because of the limit since the limit last changed.
    is_wanted: bool,
    /// The most requests with which the upstream took another one, without a rejection since, and when.
    proven: (usize, u64),
}

impl SlotLimiter {
    /// Creates the limiter of an upstream that runs `slots` requests at once.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots.max(1)),
            last_number: 0,
            granted: HashMap::new(),
            rejected_ms: VecDeque::new(),
            shrunk_ms: None,
            grows_ms: 0,
            hold_ms: MIN_HOLD_MS,
            is_wanted: false,
            proven: (0, 0),
        }
    }

    /// Gives out a slot for at most `max_ms`. Returns its number.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again, in milliseconds, if no slot is free.
    pub fn grant(&mut self, bound: RejectionBound, max_ms: u64, now_ms: u64) -> Result<u64, u64> {
        self.expire(now_ms);
        if self.granted.len() as f64 >= self.limit {
            self.is_wanted = true;
            return Err(SHORT_WAIT_MS);
        }
        let present = self.granted.len() + 1;
        let is_proven = present <= self.proven.0 && now_ms < self.proven.1 + PROVEN_MS;
        let at_risk_ms = match is_proven {
            true => PROVEN_AT_RISK_MS,
            false => AT_RISK_MS,
        };
        let at_risk = self.at_risk(at_risk_ms, now_ms);
        let rejected = self.rejected_ms.len();
        let allowed = (f64::from(bound.per_s()) * USED_PART).max(1.0) as usize;
        if rejected + at_risk >= allowed {
            let waits_for_period = rejected >= allowed;
            return Err(match self.rejected_ms.front() {
                Some(first_ms) if waits_for_period => first_ms + PERIOD_MS - now_ms,
                _ => SHORT_WAIT_MS,
            });
        }
        self.last_number += 1;
        let granted = Granted {
            at_ms: now_ms,
            until_ms: now_ms + max_ms,
            present,
        };
        self.granted.insert(self.last_number, granted);
        Ok(self.last_number)
    }

    /// Takes a slot back. A slot that is unknown, or was taken back before, changes nothing.
    /// `slots` is the number of requests that the upstream runs at once.
    pub fn release(&mut self, number: u64, release: SlotRelease, slots: u32, now_ms: u64) {
        let present = self.granted.len() as f64;
        let Some(granted) = self.granted.remove(&number) else {
            return;
        };
        match release {
            SlotRelease::Taken => {
                self.record_taken(granted, now_ms);
                self.grow(f64::from(slots.max(1)), now_ms);
            }
            SlotRelease::Rejected => {
                self.rejected_ms.push_back(now_ms);
                self.proven = (0, now_ms);
                self.shrink(present, now_ms);
            }
            SlotRelease::Unknown => {}
        }
    }

    fn record_taken(&mut self, granted: Granted, now_ms: u64) {
        let (proven, proven_ms) = self.proven;
        let is_older = granted.at_ms < proven_ms && proven == 0;
        let is_outdated = now_ms >= proven_ms + PROVEN_MS;
        if !is_older && (granted.present >= proven || is_outdated) {
            self.proven = (granted.present, now_ms);
        }
    }

    fn shrink(&mut self, present: f64, now_ms: u64) {
        let is_due = self
            .shrunk_ms
            .is_none_or(|at_ms| now_ms >= at_ms + BACKOFF_INTERVAL_MS);
        if is_due {
            self.limit = (self.limit.min(present) * BACKOFF_FACTOR).max(1.0);
            self.shrunk_ms = Some(now_ms);
            self.grows_ms = now_ms + self.hold_ms;
            self.hold_ms = (self.hold_ms * 2).min(MAX_HOLD_MS);
        }
    }

    /// Lets one more request in at a time, up to `most`, if more are wanted.
    fn grow(&mut self, most: f64, now_ms: u64) {
        if self.is_wanted && now_ms >= self.grows_ms {
            self.limit = (self.limit + 1.0).min(most);
            self.grows_ms = now_ms + MIN_HOLD_MS;
            self.hold_ms = (self.hold_ms / 2).max(MIN_HOLD_MS);
            self.is_wanted = false;
        }
    }

    /// Returns the number of requests that were let in within a time.
    fn at_risk(&self, within_ms: u64, now_ms: u64) -> usize {
        let granted = self.granted.values();
        granted.filter(|g| now_ms < g.at_ms + within_ms).count()
    }

    fn expire(&mut self, now_ms: u64) {
        self.granted.retain(|_, g| now_ms < g.until_ms);
        let is_old = |at_ms: &u64| now_ms >= at_ms + PERIOD_MS;
        while self.rejected_ms.front().is_some_and(is_old) {
            self.rejected_ms.pop_front();
        }
    }
}
