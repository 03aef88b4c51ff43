use {
    crate::{engine::BLOCK_TOKENS, names::*},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Hints kept for each upstream: a bound on memory.
const MAX_HINTS: usize = 4_096;

/// What upstreams are thought to have cached. Only a hint: cache events come
/// late and with gaps.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    upstreams: BTreeMap<BoxId, Hints>,
}

#[derive(Clone, Debug, Default)]
struct Hints {
    blocks: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl CacheHints {
    /// Notes blocks as cached.
    pub fn stored(&mut self, id: &BoxId, hashes: &[u64]) {
        let hints = self.upstreams.entry(id.clone()).or_default();
        for hash in hashes {
            if !hints.blocks.insert(*hash) {
                continue;
            }
            hints.order.push_back(*hash);
            if hints.order.len() > MAX_HINTS
                && let Some(old) = hints.order.pop_front()
            {
                hints.blocks.remove(&old);
            }
        }
    }

    /// Notes a block as removed.
    pub fn removed(&mut self, id: &BoxId, hash: u64) {
        if let Some(hints) = self.upstreams.get_mut(id) {
            hints.blocks.remove(&hash);
        }
    }

    /// Returns how many leading tokens an upstream is thought to have cached.
    ///
    /// A gap in the events may hide a block in the middle: the last known block
    /// of the chain counts, as a block is only stored with those before it.
    pub fn cached_tokens(&self, id: &BoxId, hashes: &[u64]) -> u32 {
        let Some(hints) = self.upstreams.get(id) else {
            return 0;
        };
        let last = hashes.iter().rposition(|h| hints.blocks.contains(h));
        last.map_or(0, |i| (i as u32 + 1) * BLOCK_TOKENS)
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.upstreams.retain(|id, _| keep(id));
    }
}
