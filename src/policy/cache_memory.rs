use {crate::names::UpstreamId, std::collections::HashMap};

/// For how long a prompt part is taken as kept, in milliseconds.
const KEPT_MS: u64 = 15_000;
/// How many parts are remembered of an upstream.
const MAX_PARTS: usize = 4_096;

/// Which prompt parts this daemon has sent where lately: a hint of what back
/// ends have at hand.
#[derive(Clone, Debug, Default)]
pub struct CacheMemory {
    sent: HashMap<UpstreamId, HashMap<u64, u64>>,
}

impl CacheMemory {
    /// Notes that parts were sent to an upstream.
    pub fn note(&mut self, upstream: &UpstreamId, parts: impl Iterator<Item = u64>, now_ms: u64) {
        let sent = self.sent.entry(upstream.clone()).or_default();
        for part in parts {
            sent.insert(part, now_ms);
        }
        if sent.len() > MAX_PARTS {
            sent.retain(|_, at_ms| now_ms < *at_ms + KEPT_MS);
        }
    }

    /// Returns whether an upstream is taken to have a part at hand.
    pub fn is_kept(&self, upstream: &UpstreamId, part: u64, now_ms: u64) -> bool {
        let sent = self.sent.get(upstream).and_then(|parts| parts.get(&part));
        sent.is_some_and(|at_ms| now_ms < *at_ms + KEPT_MS)
    }

    /// Forgets upstreams that `is_known` doesn't know.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.sent.retain(|id, _| is_known(id));
    }
}
