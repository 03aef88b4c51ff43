use sha2::{Digest, Sha256};

/// Tokens in a block of an engine's prefix cache.
pub const BLOCK_TOKENS: u32 = 32;

/// Returns the hash of each prefix of a prompt that ends with a whole block, in
/// the form that engines publish: the first eight bytes, big-endian, of the
/// SHA-256 of the prefix's words, each followed by a space.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = Sha256::new();
    let mut hashes = Vec::new();
    let mut words = 0;
    for word in prompt.split_whitespace() {
        hash.update(word);
        hash.update(" ");
        words += 1;
        if words % BLOCK_TOKENS == 0 {
            let whole: [u8; 32] = hash.clone().finalize().into();
            let first = whole.first_chunk::<8>().copied().unwrap_or_default();
            hashes.push(u64::from_be_bytes(first));
        }
    }
    hashes
}

/// Returns how many tokens a prompt has, counted in words as engines count them.
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}
