use crate::names::UpstreamId;

/// How many ends are kept of one request: more than hold it back.
const MAX_ENDS: usize = 8;

/// An upstream that ended while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct UpstreamCrash {
    pub upstream: UpstreamId,
    /// When, in milliseconds of the daemon's clock.
    pub at_ms: u64,
    /// For how long the request had been there, in milliseconds.
    pub ran_ms: u64,
    /// Whether the request has since been answered whole: it doesn't end what runs it.
    pub is_cleared: bool,
    /// Whether this daemon saw it.
    pub is_own: bool,
    /// How often it is still told.
    pub announcements_left: u8,
    /// Whether other hubs are told, too.
    pub announces_to_hubs: bool,
}

impl UpstreamCrash {
    /// Returns whether this may be another daemon's view of an end. An upstream needs some
    /// time to come back, and only then ends again.
    pub fn is_same(&self, upstream: &UpstreamId, at_ms: u64, apart_ms: u64) -> bool {
        self.upstream == *upstream && self.at_ms.abs_diff(at_ms) < apart_ms
    }
}

/// A request under which upstreams ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub ends: Vec<UpstreamCrash>,
    /// How many ends it had when that was last written down.
    pub written: usize,
}

impl Suspect {
    /// Returns how many upstreams ended under it, one after the other, that it may have
    /// ended.
    pub fn count(&self) -> usize {
        in_turn(self.open_ends())
    }

    /// Returns the ends that it may have caused.
    pub fn open_ends(&self) -> impl Iterator<Item = &UpstreamCrash> {
        self.ends.iter().filter(|end| !end.is_cleared)
    }

    /// Returns when the last of them was, in milliseconds.
    pub fn last_ms(&self) -> u64 {
        self.ends.iter().map(|end| end.at_ms).max().unwrap_or(0)
    }

    /// Adds an end; the oldest one makes room.
    pub fn add(&mut self, end: UpstreamCrash) {
        if self.ends.len() >= MAX_ENDS {
            let oldest = (0..self.ends.len()).min_by_key(|n| self.ends[*n].at_ms);
            self.ends.remove(oldest.unwrap_or(0));
        }
        self.ends.push(end);
    }

    /// Notes that it was answered whole; returns whether that is news.
    pub fn clear(&mut self, announcements_left: u8) -> bool {
        let open = self.ends.iter_mut().filter(|end| !end.is_cleared);
        open.map(|end| {
            end.is_cleared = true;
            end.announces_to_hubs = true;
            end.announcements_left = announcements_left;
        })
        .count()
            > 0
    }
}

/// Returns how many of some ends came in turn: the request was sent to each after the one
/// before had ended. Upstreams that are lost together end under whatever is asked often;
/// counted by themselves, the loss of a service's three upstreams at one moment held back
/// each request that had been running on all of them.
pub(super) fn in_turn<'a>(ends: impl Iterator<Item = &'a UpstreamCrash>) -> usize {
    let mut ends: Vec<&UpstreamCrash> = ends.collect();
    ends.sort_unstable_by_key(|end| end.at_ms);
    let (mut count, mut last_ms) = (0, 0);
    for end in ends {
        let began_ms = end.at_ms.saturating_sub(end.ran_ms);
        if count == 0 || began_ms >= last_ms {
            count += 1;
            last_ms = end.at_ms;
        }
    }
    count
}
