use super::UpstreamId;

/// What stands between an upstream's id and the start of one of its lives.
pub const INCARNATION_MARK: char = '~';

/// One upstream may start again under the id that it had. Each of its lives has an id
/// of its own here, so that nothing that was learned of one is taken for another's:
/// requests running, prompts held, failures, connections.
impl UpstreamId {
    /// Returns the id of the life of an upstream that began at a time, in Unix
    /// milliseconds.
    pub fn of_incarnation(upstream: &str, started_ms: u64) -> Self {
        Self::from(format!("{upstream}{INCARNATION_MARK}{started_ms:x}").as_str())
    }

    /// Returns the id that all lives of the upstream have in common: the one that it
    /// knows itself by.
    pub fn upstream(&self) -> &str {
        self.incarnation()
            .map_or(self.as_str(), |(upstream, _)| upstream)
    }

    /// Returns when this life began, in Unix milliseconds; 0 if that was never told.
    pub fn started_ms(&self) -> u64 {
        self.incarnation().map_or(0, |(_, started_ms)| started_ms)
    }

    fn incarnation(&self) -> Option<(&str, u64)> {
        let (upstream, started) = self.as_str().rsplit_once(INCARNATION_MARK)?;
        Some((upstream, u64::from_str_radix(started, 16).ok()?))
    }
}
