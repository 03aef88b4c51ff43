use {crate::names::UpstreamId, std::collections::HashMap};

/// For how long a prompt part is taken as kept, in milliseconds.
const RETENTION_MS: u64 = 15_000;

/// Which prompt parts this daemon has sent where lately: a hint of what engines
/// have at hand. Kept by part, since few upstreams have a given one: a choice looks
/// at these instead of at all.
#[derive(Clone, Debug, Default)]
pub struct CacheMemory {
    sent: HashMap<u64, HashMap<UpstreamId, u64>>,
}

impl CacheMemory {
    /// Notes that parts were sent to an upstream.
    pub fn record(&mut self, upstream: &UpstreamId, parts: impl Iterator<Item = u64>, now_ms: u64) {
        for part in parts {
            let sent = self.sent.entry(part).or_default();
            sent.insert(upstream.clone(), now_ms);
        }
    }

    /// Returns how many of some parts upstreams are taken to have at hand, from the
    /// first one on: a part is of no use where one before it is missing. Upstreams
    /// that lack the first part are left out.
    pub fn kept_parts(
        &self,
        parts: impl Iterator<Item = u64>,
        now_ms: u64,
    ) -> HashMap<&UpstreamId, usize> {
        let mut kept = HashMap::new();
        for (before, part) in parts.enumerate() {
            let sent = self.sent.get(&part).into_iter().flatten();
            for (id, _) in sent.filter(|(_, at_ms)| now_ms < **at_ms + RETENTION_MS) {
                match kept.get_mut(id) {
                    Some(count) if *count == before => *count += 1,
                    None if before == 0 => {
                        kept.insert(id, 1);
                    }
                    _ => {}
                }
            }
        }
        kept
    }

    /// Forgets what was sent too long ago, and upstreams that `is_known` doesn't
    /// know.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now_ms: u64) {
        for sent in self.sent.values_mut() {
            sent.retain(|id, at_ms| now_ms < *at_ms + RETENTION_MS && is_known(id));
        }
        self.sent.retain(|_, sent| !sent.is_empty());
    }
}
