/// How long after its first question to a seed a daemon asks again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
/// The longest time between two questions, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_600;

/// When a daemon that starts asks which of its seeds who the others are: one after the
/// other, each time after twice the pause before. All daemons of a fleet may start at the
/// same moment and have the same few seeds; asked by all of them all the time, these
/// would not get their answers out. Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Copy, Debug)]
pub struct SeedBackoff {
    next: usize,
    pause_ms: u64,
    due_ms: u64,
}

/// A query to a seed daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedQuery {
    /// Which of the seeds.
    pub seed: usize,
    /// How long until the same seed is asked again at the latest, in milliseconds.
    pub interval_ms: u64,
}

impl SeedBackoff {
    /// Starts at a seed that is drawn, so that all seeds are asked by as many.
    pub fn new(drawn: u64) -> Self {
        Self {
            next: drawn as usize,
            pause_ms: FIRST_PAUSE_MS,
            due_ms: 0,
        }
    }

    /// Returns what to ask now, if anything. `drawn` spreads the questions of daemons that
    /// started together.
    pub fn next_query(&mut self, seeds: usize, drawn: u64, now_ms: u64) -> Option<SeedQuery> {
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
        self.due_ms = now_ms + half_ms + drawn % (half_ms + 1);
        self.pause_ms = doubled(self.pause_ms);
        Some(next_query)
    }

    /// Begins anew: no daemon is heard any more.
    pub fn restart(&mut self, now_ms: u64) {
        self.pause_ms = FIRST_PAUSE_MS;
        self.due_ms = now_ms;
    }
}

fn doubled(pause_ms: u64) -> u64 {
    (pause_ms * 2).min(MAX_PAUSE_MS)
}
