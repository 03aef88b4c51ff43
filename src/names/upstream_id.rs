use super::UpstreamId;

/// Separates an upstream's own id from the start time of an incarnation.
pub const INCARNATION_MARK: char = '~';

/// An upstream may restart under the same id. Each of its incarnations has its own
/// [`UpstreamId`], so that the state of one is not attributed to another: running requests,
/// cached prompts, failures, connections.
impl UpstreamId {
    /// Returns the id of the incarnation of an upstream that started at `started_ms`, in Unix
    /// milliseconds.
    pub fn of_incarnation(upstream: &str, started_ms: u64) -> Self {
        Self::from(format!("{upstream}{INCARNATION_MARK}{started_ms:x}").as_str())
    }

    /// Returns the id that all incarnations of the upstream share, which is the one that the
    /// upstream itself uses.
    pub fn upstream(&self) -> &str {
        self.incarnation()
            .map_or(self.as_str(), |(upstream, _)| upstream)
    }

    /// Returns when this incarnation started, in Unix milliseconds; 0 if the id has no start time.
    pub fn started_ms(&self) -> u64 {
        self.incarnation().map_or(0, |(_, started_ms)| started_ms)
    }

    fn incarnation(&self) -> Option<(&str, u64)> {
        let (upstream, started) = self.as_str().rsplit_once(INCARNATION_MARK)?;
        Some((upstream, u64::from_str_radix(started, 16).ok()?))
    }
}
