use {
    crate::names::UpstreamId,
    std::{collections::HashMap, time::Duration},
};

/// Until when upstreams want nothing from this daemon, by what they said when they turned
/// its requests away. Times are milliseconds of the daemon's steady clock.
///
/// It counts for this daemon only: what an upstream wants of others, it tells them.
#[derive(Clone, Debug, Default)]
pub struct CooldownTable {
    until_ms: HashMap<UpstreamId, u64>,
}

impl CooldownTable {
    /// Notes that an upstream asked for rest. Of several times the last end counts: answers
    /// may come late.
    pub fn record(&mut self, id: &UpstreamId, rest: Duration, now_ms: u64) {
        let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        let until_ms = now_ms.saturating_add(rest_ms);
        let known_ms = self.until_ms.entry(id.clone()).or_default();
        *known_ms = until_ms.max(*known_ms);
    }

    /// Returns how much rest an upstream still wants.
    pub fn left(&self, id: &UpstreamId, now_ms: u64) -> Option<Duration> {
        let left_ms = self.until_ms.get(id)?.checked_sub(now_ms)?;
        (left_ms > 0).then(|| Duration::from_millis(left_ms))
    }

    /// Returns whether an upstream wants nothing now.
    pub fn is_in_cooldown(&self, id: &UpstreamId, now_ms: u64) -> bool {
        self.left(id, now_ms).is_some()
    }

    /// Returns the upstreams that want nothing now, with how much rest is left.
    pub fn in_cooldown(&self, now_ms: u64) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        let ids = self.until_ms.keys();
        ids.filter_map(move |id| Some((id, self.left(id, now_ms)?)))
    }

    /// Forgets rests that are over, and upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now_ms: u64) {
        self.until_ms
            .retain(|id, until_ms| now_ms < *until_ms && is_known(id));
    }
}
