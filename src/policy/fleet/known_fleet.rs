/// Factor by which the number of known upstreams must grow to show that not all were known
/// before. Smaller growth is ignored: a few upstreams come and go while versions change.
const GROWTH: f64 = 1.02;
/// How long the number must not have grown until all upstreams are assumed to be known, in
/// milliseconds. It is several times as long as an update takes to reach a daemon.
const SETTLED_MS: u64 = 2_000;

/// Tracks how many upstreams of a service are known, and whether these are all that exist.
///
/// A fleet order gives the total number of upstreams. If it were placed while only a part of
/// them is known, an order that is meant to add some would remove most of the others.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet {
    known: u32,
    grew_ms: u64,
}

impl KnownFleet {
    /// Starts with no known upstreams. Times are milliseconds of a monotonic clock.
    pub fn new(now_ms: u64) -> Self {
        Self {
            known: 0,
            grew_ms: now_ms,
        }
    }

    /// Records how many upstreams are known now.
    pub fn record(&mut self, known: u32, now_ms: u64) {
        if f64::from(known) > f64::from(self.known) * GROWTH {
            self.known = known;
            self.grew_ms = now_ms;
        }
        self.known = self.known.min(known);
    }

    /// Returns true once the known upstreams are assumed to be all that exist.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        now_ms >= self.grew_ms + SETTLED_MS
    }
}
