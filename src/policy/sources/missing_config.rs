/// How long a follower waits for other daemons to send it a newer configuration before it
/// reads the source, in milliseconds: long enough for several refused queries and
/// announcement rounds, and well below the second or two within which a configuration should
/// be in force.
const FOLLOWER_MAX_WAIT_MS: u64 = 1_000;
/// How long a daemon that reads the source waits for its own read before it queries other
/// daemons too, in milliseconds. A read that began before an outage of the source or of a
/// link to it may hang for seconds after the outage ends.
const READER_MAX_WAIT_MS: u64 = 800;

/// A configuration that is in force elsewhere and that this daemon lacks. Times are
/// milliseconds of its monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingConfig {
    since_ms: u64,
    /// When another daemon last refused a query because it was serving others first.
    deferred_ms: u64,
}

impl MissingConfig {
    /// Creates the state when the daemon learns that a newer version exists.
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            deferred_ms: now_ms,
        }
    }

    /// Records that a daemon with the configuration refused a query because it is serving
    /// others first.
    pub fn record_deferred(&mut self, now_ms: u64) {
        self.deferred_ms = now_ms;
    }

    /// Returns true if the daemon is to query other daemons for the configuration.
    pub fn queries_daemons(&self, reads_source: bool, now_ms: u64) -> bool {
        !reads_source || now_ms >= self.since_ms + READER_MAX_WAIT_MS
    }

    /// Returns true if a follower is to read the configuration from the source.
    ///
    /// It doesn't do so while the daemons that have the configuration are busy serving it: if
    /// all daemons read a large configuration from the source at once, the source answers
    /// none of them in time, and their repeated reads keep it overloaded.
    pub fn needs_source(&self, now_ms: u64) -> bool {
        now_ms >= self.deferred_ms + FOLLOWER_MAX_WAIT_MS
    }
}
