use {
    crate::names::UpstreamId,
    std::{collections::HashMap, time::Duration},
};

/// The cooldowns of upstreams, as they named them when they refused requests of one daemon.
/// Times are milliseconds of the daemon's steady clock.
///
/// A cooldown applies to that daemon only, since an upstream names a retry time to each
/// daemon whose requests it refuses.
#[derive(Clone, Debug, Default)]
pub struct CooldownTable {
    until_ms: HashMap<UpstreamId, u64>,
}

impl CooldownTable {
    /// Starts a cooldown of an upstream. If several cooldowns overlap, the latest end applies,
    /// since responses may arrive late and out of order.
    pub fn record(&mut self, id: &UpstreamId, cooldown: Duration, now_ms: u64) {
        let cooldown_ms = u64::try_from(cooldown.as_millis()).unwrap_or(u64::MAX);
        let until_ms = now_ms.saturating_add(cooldown_ms);
        let known_ms = self.until_ms.entry(id.clone()).or_default();
        *known_ms = until_ms.max(*known_ms);
    }

    /// Returns the remaining cooldown of an upstream, or `None` if it has none.
    pub fn left(&self, id: &UpstreamId, now_ms: u64) -> Option<Duration> {
        let left_ms = self.until_ms.get(id)?.checked_sub(now_ms)?;
        (left_ms > 0).then(|| Duration::from_millis(left_ms))
    }

    /// Returns whether an upstream is in cooldown at `now_ms`.
    pub fn is_in_cooldown(&self, id: &UpstreamId, now_ms: u64) -> bool {
        self.left(id, now_ms).is_some()
    }

    /// Returns the upstreams that are in cooldown at `now_ms`, with the remaining cooldown.
    pub fn in_cooldown(&self, now_ms: u64) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        let ids = self.until_ms.keys();
        ids.filter_map(move |id| Some((id, self.left(id, now_ms)?)))
    }

    /// Removes cooldowns that are over and those of upstreams that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now_ms: u64) {
        self.until_ms
            .retain(|id, until_ms| now_ms < *until_ms && is_known(id));
    }
}
