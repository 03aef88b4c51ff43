use {
    super::CacheEvent,
    sha2::{Digest, Sha256},
    std::collections::{BTreeMap, VecDeque},
};

/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: usize = 32;

/// Number of newest cache events retained for readers.
const MAX_EVENTS: usize = 4_096;

/// Returns the hash of each prefix of a text that consists of complete blocks.
///
/// The published form is the first eight bytes, big-endian, of the SHA-256 of the
/// prefix's words, each followed by a space.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut hash = Sha256::new();
    let mut hashes = Vec::new();
    for (i, word) in text.split_whitespace().enumerate() {
        hash.update(word);
        hash.update(" ");
        if (i + 1) % BLOCK_TOKENS == 0 {
            let bytes: [u8; 32] = hash.clone().finalize().into();
            let mut first = [0; 8];
            first.copy_from_slice(&bytes[..8]);
            hashes.push(u64::from_be_bytes(first));
        }
    }
    hashes
}

/// A prefix cache of limited size that evicts the least recently used block.
#[derive(Debug, Default)]
pub struct PrefixCache {
    blocks: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    tick: u64,
    events: VecDeque<(u64, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    /// Returns the number of leading tokens that are cached, and marks their blocks as used.
    pub fn cached_tokens(&mut self, hashes: &[u64]) -> usize {
        let n = hashes
            .iter()
            .take_while(|h| self.blocks.contains_key(h))
            .count();
        for hash in &hashes[..n] {
            self.touch(*hash);
        }
        n * BLOCK_TOKENS
    }

    /// Stores blocks, then evicts down to `max_blocks`.
    pub fn store(&mut self, hashes: &[u64], max_blocks: usize, now_ms: u64) {
        for hash in hashes {
            if !self.blocks.contains_key(hash) {
                self.push_event("stored", *hash, now_ms);
            }
            self.touch(*hash);
        }
        while self.blocks.len() > max_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.push_event("removed", hash, now_ms);
        }
    }

    /// Returns the events from sequence number `from` on that are at least `lag_ms` old,
    /// without every `gap`-th; with a `gap` of 0 none is left out.
    pub fn events(&self, from: u64, now_ms: u64, lag_ms: u64, gap: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, e)| e.seq >= from && at + lag_ms <= now_ms)
            .filter(|(_, e)| gap == 0 || e.seq % gap != gap - 1)
            .map(|(_, e)| e.clone())
            .collect()
    }

    fn touch(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(old) = self.blocks.insert(hash, self.tick) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.tick, hash);
    }

    fn push_event(&mut self, kind: &str, hash: u64, now_ms: u64) {
        let event = CacheEvent {
            seq: self.next_seq,
            kind: kind.to_string(),
            hash,
        };
        self.next_seq += 1;
        self.events.push_back((now_ms, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
