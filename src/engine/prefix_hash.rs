use sha2::{Digest, Sha256};

/// Number of tokens in a block of an engine's prefix cache.
pub const BLOCK_TOKENS: u32 = 32;

/// Returns the hash of each prefix of a prompt that ends with a complete block.
///
/// The hashes have the form that engines publish: the first eight bytes, big-endian, of the
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
            let digest: [u8; 32] = hash.clone().finalize().into();
            let first = digest.first_chunk::<8>().copied().unwrap_or_default();
            hashes.push(u64::from_be_bytes(first));
        }
    }
    hashes
}

/// Counts the tokens of a prompt. Engines count each word as one token.
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}
