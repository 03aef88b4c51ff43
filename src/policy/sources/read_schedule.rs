/// Of the time within which a leaving upstream must get no more work, how long a
/// read of the upstreams is held that brings nothing: so long a source that fell
/// silent stays unnoticed beside a call's own time.
const HOLD_PART: u64 = 4;
/// Of the same time, the pause between two reads.
const PAUSE_PART: u64 = 5;
/// How much older than a hold and a pause the newest answer of a source may be
/// before it counts as stale, in milliseconds: a slow answer and the way to
/// other daemons.
const STALE_SLACK_MS: u64 = 300;
/// With at least this time, in milliseconds, one reader in a failure domain is
/// enough: another one has the time to notice that it fell silent, to list the source
/// and to tell the others.
const LONE_READER_MS: u64 = 3_500;

/// How often, and by how many daemons of a failure domain, the shared source is
/// read: as seldom as the bound allows within which all must know of an upstream
/// that leaves. Each read is a call that costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceReadSchedule {
    /// How many daemons of a failure domain read.
    pub readers: usize,
    /// How long a read is held, in milliseconds.
    pub hold_ms: u64,
    /// The least time between two reads, in milliseconds.
    pub pause_ms: u64,
}

impl SourceReadSchedule {
    /// Returns the pace for a bound in milliseconds.
    pub fn for_bound(bound_ms: u64) -> Self {
        Self {
            readers: if bound_ms < LONE_READER_MS { 2 } else { 1 },
            hold_ms: bound_ms / HOLD_PART,
            pause_ms: bound_ms / PAUSE_PART,
        }
    }

    /// Returns from which age on the newest answer of a source is no news, in
    /// milliseconds.
    pub fn stale_ms(&self) -> u64 {
        self.hold_ms + self.pause_ms + STALE_SLACK_MS
    }
}
