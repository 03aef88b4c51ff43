use {
    crate::{engine::BLOCK_TOKENS, names::*},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Maximum number of hints for each upstream, which bounds memory.
const MAX_HINTS: usize = 4_096;

/// The blocks that upstreams are assumed to have in their prefix caches.
///
/// These are only hints, as cache events arrive late and with gaps.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    upstreams: BTreeMap<BoxId, Hints>,
}

#[derive(Clone, Debug, Default)]
struct Hints {
    blocks: BTreeSet<u64>,
    /// The blocks in the order of their insertion, for the eviction of the oldest.
    order: VecDeque<u64>,
}

impl CacheHints {
    /// Records blocks as cached; evicts the oldest ones above the maximum.
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

    /// Records a block as removed.
    pub fn removed(&mut self, id: &BoxId, hash: u64) {
        if let Some(hints) = self.upstreams.get_mut(id) {
            hints.blocks.remove(&hash);
        }
    }

    /// Returns how many leading tokens of a prompt an upstream is assumed to have cached;
    /// `hashes` are the prompt's [prefix hashes](crate::engine::prefix_hashes).
    ///
    /// The last known block determines the number, as a block is only stored together with all
    /// blocks before it: a gap in the events may hide one of these.
    pub fn cached_tokens(&self, id: &BoxId, hashes: &[u64]) -> u32 {
        let Some(hints) = self.upstreams.get(id) else {
            return 0;
        };
        let last = hashes.iter().rposition(|h| hints.blocks.contains(h));
        last.map_or(0, |i| (i as u32 + 1) * BLOCK_TOKENS)
    }

    /// Removes the upstreams that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.upstreams.retain(|id, _| keep(id));
    }
}
