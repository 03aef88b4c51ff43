/// How many times as many upstreams as before must become known to show that these had
/// not been all: a few come and go while versions change.
const GROWTH: f64 = 1.02;
/// After how long without growth all upstreams are taken to be known, in milliseconds:
/// some of the times in which news reach a daemon.
const SETTLED_MS: u64 = 2_000;

/// How many upstreams of a service are known, and whether these are all that there are.
///
/// An order names how many there shall be. Placed while only a part of them is known, one
/// for some more would take most of the others away.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet {
    known: u32,
    grew_ms: u64,
}

impl KnownFleet {
    /// Starts with none. Times are milliseconds of a steady clock.
    pub fn new(now_ms: u64) -> Self {
        Self {
            known: 0,
            grew_ms: now_ms,
        }
    }

    /// Notes how many are known.
    pub fn record(&mut self, known: u32, now_ms: u64) {
        if f64::from(known) > f64::from(self.known) * GROWTH {
            self.known = known;
            self.grew_ms = now_ms;
        }
        self.known = self.known.min(known);
    }

    /// Returns whether those that are known are taken for all.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        now_ms >= self.grew_ms + SETTLED_MS
    }
}
