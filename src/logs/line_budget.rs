use std::collections::BTreeMap;

/// How many lines a second are written, by how much they matter.
const ORDINARY_PER_S: u32 = 120;
const IMPORTANT_PER_S: u32 = 240;
const SECOND_MS: u64 = 1_000;

/// Bounds the lines of a second. Times are milliseconds.
///
/// Important lines (failed and refused requests) have a bound of their own, so
/// that ordinary ones are dropped first.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    ordinary: u32,
    important: u32,
    dropped: BTreeMap<String, u64>,
}

/// What to do with a line.
#[derive(Debug, PartialEq, Eq)]
pub struct LineDecision {
    /// Whether to write it.
    pub write: bool,
    /// By part, the lines that were dropped in an earlier second; to be told
    /// before it.
    pub dropped: BTreeMap<String, u64>,
}

impl LineBudget {
    /// Decides on a line of a part.
    pub fn take(&mut self, part: &str, important: bool, now_ms: u64) -> LineDecision {
        let mut dropped = BTreeMap::new();
        let second = now_ms / SECOND_MS;
        if second != self.second {
            self.second = second;
            self.ordinary = 0;
            self.important = 0;
            dropped = std::mem::take(&mut self.dropped);
        }
        let (used, most) = match important {
            true => (&mut self.important, IMPORTANT_PER_S),
            false => (&mut self.ordinary, ORDINARY_PER_S),
        };
        let write = *used < most;
        *used += u32::from(write);
        if !write {
            self.record_dropped(part, 1);
        }
        LineDecision { write, dropped }
    }

    /// Notes lines that were dropped elsewhere.
    pub fn record_dropped(&mut self, part: &str, lines: u64) {
        *self.dropped.entry(part.to_string()).or_default() += lines;
    }
}
