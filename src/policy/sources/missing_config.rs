/// How long a daemon that follows others leaves it to them to tell it a newer
/// configuration, in milliseconds: some refusals and rounds of telling, well
/// under the second or two within which a configuration is to be in force.
const FOLLOWER_PATIENCE_MS: u64 = 1_000;
/// How long a daemon that reads the source waits for its own read before it
/// asks others as well, in milliseconds. A read that began before the source or
/// a link to it failed may hang for seconds after its return.
const READER_PATIENCE_MS: u64 = 800;

/// What a daemon knows of a configuration that is in force elsewhere and that it
/// lacks. Times are milliseconds of its steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingConfig {
    since_ms: u64,
    /// When another daemon last said that it is telling others first.
    deferred_ms: u64,
}

impl MissingConfig {
    /// Begins when a newer version is heard of.
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            deferred_ms: now_ms,
        }
    }

    /// Notes that a daemon that has it is telling others first.
    pub fn record_deferred(&mut self, now_ms: u64) {
        self.deferred_ms = now_ms;
    }

    /// Returns whether to ask other daemons for it.
    pub fn queries_daemons(&self, reads_source: bool, now_ms: u64) -> bool {
        !reads_source || now_ms >= self.since_ms + READER_PATIENCE_MS
    }

    /// Returns whether one that follows others is to read it from the source.
    ///
    /// Not while those that have it tell others: if all daemons read a large
    /// configuration from the source at once, the source answers none of them
    /// in time, and their repeated reads keep it so.
    pub fn needs_source(&self, now_ms: u64) -> bool {
        now_ms >= self.deferred_ms + FOLLOWER_PATIENCE_MS
    }
}
