/// Pause after the first query to a seed, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
/// The longest pause between two queries, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_600;

/// Decides when a starting daemon queries which of its seeds for the other daemons.
///
/// It queries the seeds in turn, and doubles the pause after each query. All daemons of a
/// fleet may start at the same moment with the same few seeds: without a backoff, their
/// queries would demand more answers than the links of the seeds can carry. Times are
/// milliseconds of the daemon's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SeedBackoff {
    next: usize,
    pause_ms: u64,
    due_ms: u64,
}

/// A query to a seed daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedQuery {
    /// Index of the seed.
    pub seed: usize,
    /// The longest time until the same seed is queried again, in milliseconds.
    pub interval_ms: u64,
}

impl SeedBackoff {
    /// Starts at a random seed, so that the daemons of a fleet distribute their first queries
    /// evenly over the seeds.
    pub fn new(random: u64) -> Self {
        Self {
            next: random as usize,
            pause_ms: FIRST_PAUSE_MS,
            due_ms: 0,
        }
    }

    /// Returns the query that is due, if any. `random` adds jitter, so that the queries of
    /// daemons that started together spread out.
    pub fn next_query(&mut self, seeds: usize, random: u64, now_ms: u64) -> Option<SeedQuery> {
        if now_ms < self.due_ms || seeds == 0 {
            return None;
        }
        let pauses = std::iter::successors(Some(self.pause_ms), |ms| Some(doubled(*ms)));
        let next_query = SeedQuery {
            seed: self.next % seeds,
            interval_ms: pauses.take(seeds).sum(),
        };
        self.next = next_query.seed + 1;
        let half_ms = self.pause_ms / 2;
        self.due_ms = now_ms + half_ms + random % (half_ms + 1);
        self.pause_ms = doubled(self.pause_ms);
        Some(next_query)
    }

    /// Restarts the backoff, because no other daemon is reachable any more.
    pub fn restart(&mut self, now_ms: u64) {
        self.pause_ms = FIRST_PAUSE_MS;
        self.due_ms = now_ms;
    }
}

fn doubled(pause_ms: u64) -> u64 {
    (pause_ms * 2).min(MAX_PAUSE_MS)
}
