use {crate::names::UpstreamId, std::collections::HashMap};

/// How long after it was sent a prompt part is assumed to be in an engine's cache, in
/// milliseconds.
const RETENTION_MS: u64 = 15_000;

/// Prompt parts that this daemon has sent to each upstream recently: a hint of what the
/// engines have in their prefix caches.
///
/// Indexed by part, because few upstreams have a given part: a placement decision looks at
/// these instead of at all upstreams.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheTracker {
    sent: HashMap<u64, HashMap<UpstreamId, u64>>,
}

impl PrefixCacheTracker {
    /// Records that prompt parts were sent to an upstream.
    pub fn record(&mut self, upstream: &UpstreamId, parts: impl Iterator<Item = u64>, now_ms: u64) {
        for part in parts {
            let sent = self.sent.entry(part).or_default();
            sent.insert(upstream.clone(), now_ms);
        }
    }

    /// Returns for each upstream how many leading prompt parts are likely to be in its cache.
    /// Counting stops at the first part that is missing, because an engine can't use a cached
    /// part without all parts before it. Upstreams that lack the first part are left out.
    pub fn likely_cached_parts(
        &self,
        parts: impl Iterator<Item = u64>,
        now_ms: u64,
    ) -> HashMap<&UpstreamId, usize> {
        let mut cached = HashMap::new();
        for (position, part) in parts.enumerate() {
            let sent = self.sent.get(&part).into_iter().flatten();
            for (id, _) in sent.filter(|(_, at_ms)| now_ms < **at_ms + RETENTION_MS) {
                match cached.get_mut(id) {
                    Some(count) if *count == position => *count += 1,
                    None if position == 0 => {
                        cached.insert(id, 1);
                    }
                    _ => {}
                }
            }
        }
        cached
    }

    /// Removes parts that were sent longer ago than the retention time, and upstreams for
    /// which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now_ms: u64) {
        for sent in self.sent.values_mut() {
            sent.retain(|id, at_ms| now_ms < *at_ms + RETENTION_MS && is_known(id));
        }
        self.sent.retain(|_, sent| !sent.is_empty());
    }
}
