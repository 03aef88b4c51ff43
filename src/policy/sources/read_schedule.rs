/// Divisor of the bound after which a leaving upstream must get no more work, for the time
/// that the source holds a read of the upstreams that has no changes to return. A source that
/// stops answering stays unnoticed for this time and the duration of a call.
const HOLD_DIVISOR: u64 = 4;
/// Divisor of the same bound for the pause between two reads.
const PAUSE_DIVISOR: u64 = 5;
/// How much older than a hold and a pause the latest answer of a source may be before it
/// counts as stale, in milliseconds: allows for a slow answer and its way to other daemons.
const STALE_SLACK_MS: u64 = 300;
/// The shortest bound, in milliseconds, for which one reader in a failure domain is enough:
/// another daemon has the time to detect that the reader failed, to list the source, and to
/// announce the result to the others.
const MIN_SINGLE_READER_BOUND_MS: u64 = 3_500;

/// How often and by how many daemons of a failure domain the shared source is read.
///
/// Each read is a call that costs, so reads are as rare as the bound allows within which all
/// daemons must know of a leaving upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceReadSchedule {
    /// Number of daemons of a failure domain that read.
    pub readers: usize,
    /// How long the source holds a read that has no changes to return, in milliseconds.
    pub hold_ms: u64,
    /// The shortest pause between two reads, in milliseconds.
    pub pause_ms: u64,
}

impl SourceReadSchedule {
    /// Returns the schedule for a bound in milliseconds.
    pub fn for_bound(bound_ms: u64) -> Self {
        Self {
            readers: if bound_ms < MIN_SINGLE_READER_BOUND_MS {
                2
            } else {
                1
            },
            hold_ms: bound_ms / HOLD_DIVISOR,
            pause_ms: bound_ms / PAUSE_DIVISOR,
        }
    }

    /// Returns the age from which the latest answer of a source counts as stale, in
    /// milliseconds.
    pub fn stale_ms(&self) -> u64 {
        self.hold_ms + self.pause_ms + STALE_SLACK_MS
    }
}
