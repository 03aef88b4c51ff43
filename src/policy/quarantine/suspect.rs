use crate::names::UpstreamId;

/// Number of crashes kept for each request. It is larger than the number that holds a request
/// back.
const MAX_CRASHES: usize = 8;

/// A crash of an upstream while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct UpstreamCrash {
    pub upstream: UpstreamId,
    /// Time of the crash, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
    /// How long the request had been on the upstream by then, in milliseconds.
    pub ran_ms: u64,
    /// The request has since been answered completely, so it did not cause the crash.
    pub is_cleared: bool,
    /// This daemon observed the crash itself.
    pub is_own: bool,
    /// How many more times the crash is announced.
    pub announcements_left: u8,
    /// The crash is announced to other hubs, not only to members.
    pub announces_to_hubs: bool,
}

impl UpstreamCrash {
    /// Returns whether a crash of `upstream` at `at_ms` is this crash, possibly as another
    /// daemon observed it: the times differ by less than `window_ms`. An upstream takes longer
    /// than that to restart and crash again.
    pub fn is_same(&self, upstream: &UpstreamId, at_ms: u64, window_ms: u64) -> bool {
        self.upstream == *upstream && self.at_ms.abs_diff(at_ms) < window_ms
    }
}

/// A request during which upstreams crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub crashes: Vec<UpstreamCrash>,
    /// Number of crashes in the record that was last written to the store.
    pub written: usize,
}

impl Suspect {
    /// Returns the number of successive crashes that the request may have caused.
    pub fn count(&self) -> usize {
        count_successive(self.open_crashes())
    }

    /// Returns the crashes that the request may have caused.
    pub fn open_crashes(&self) -> impl Iterator<Item = &UpstreamCrash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Returns the time of the last crash, in milliseconds.
    pub fn last_ms(&self) -> u64 {
        self.crashes
            .iter()
            .map(|crash| crash.at_ms)
            .max()
            .unwrap_or(0)
    }

    /// Adds a crash, in place of the oldest one if the list is full.
    pub fn add(&mut self, crash: UpstreamCrash) {
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|n| self.crashes[*n].at_ms);
            self.crashes.remove(oldest.unwrap_or(0));
        }
        self.crashes.push(crash);
    }

    /// Records that the request was answered completely, and announces that
    /// `announcements_left` times. Returns whether any crash was not cleared before.
    pub fn clear(&mut self, announcements_left: u8) -> bool {
        let open = self.crashes.iter_mut().filter(|crash| !crash.is_cleared);
        open.map(|crash| {
            crash.is_cleared = true;
            crash.announces_to_hubs = true;
            crash.announcements_left = announcements_left;
        })
        .count()
            > 0
    }
}

/// Counts successive crashes: those where the request was sent to the upstream only after
/// the previous crash. Upstreams that are lost at the same time crash during every frequent
/// request. If each of these crashes counted, the simultaneous loss of a service's three
/// upstreams would hold back each request that was running on all of them.
pub(super) fn count_successive<'a>(crashes: impl Iterator<Item = &'a UpstreamCrash>) -> usize {
    let mut crashes: Vec<&UpstreamCrash> = crashes.collect();
    crashes.sort_unstable_by_key(|crash| crash.at_ms);
    let (mut count, mut last_ms) = (0, 0);
    for crash in crashes {
        let began_ms = crash.at_ms.saturating_sub(crash.ran_ms);
        if count == 0 || began_ms >= last_ms {
            count += 1;
            last_ms = crash.at_ms;
        }
    }
    count
}
