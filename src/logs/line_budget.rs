use std::collections::BTreeMap;

/// Maximum number of ordinary lines written per second.
const ORDINARY_PER_S: u32 = 120;
/// Maximum number of important lines written per second.
const IMPORTANT_PER_S: u32 = 240;
const SECOND_MS: u64 = 1_000;

/// Limits the lines written per second. Times are milliseconds.
///
/// Important lines (failed and refused requests) have a limit of their own, so that ordinary
/// lines are dropped first.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    ordinary: u32,
    important: u32,
    dropped: BTreeMap<String, u64>,
}

/// The decision on one line.
#[derive(Debug, PartialEq, Eq)]
pub struct LineDecision {
    /// True if the line is to be written.
    pub write: bool,
    /// The number of lines dropped in earlier seconds, by part of the daemon. It is to be
    /// logged before the line.
    pub dropped: BTreeMap<String, u64>,
}

impl LineBudget {
    /// Decides if a line of a part is written or dropped, and counts it.
    pub fn take(&mut self, part: &str, important: bool, now_ms: u64) -> LineDecision {
        let mut dropped = BTreeMap::new();
        let second = now_ms / SECOND_MS;
        if second != self.second {
            self.second = second;
            self.ordinary = 0;
            self.important = 0;
            dropped = std::mem::take(&mut self.dropped);
        }
        let (used, limit) = match important {
            true => (&mut self.important, IMPORTANT_PER_S),
            false => (&mut self.ordinary, ORDINARY_PER_S),
        };
        let write = *used < limit;
        *used += u32::from(write);
        if !write {
            self.record_dropped(part, 1);
        }
        LineDecision { write, dropped }
    }

    /// Records lines of a part that were dropped.
    pub fn record_dropped(&mut self, part: &str, lines: u64) {
        *self.dropped.entry(part.to_string()).or_default() += lines;
    }
}
