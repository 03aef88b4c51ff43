use {
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Identifies a part of prompts: a hash of the part's id alone. It is the same whatever parts
/// stand before it, and whoever sends it.
///
/// The hash is cryptographic, so that no client can make an id that collides with that of another
/// client's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartFingerprint(u128);

impl PartFingerprint {
    /// Computes the fingerprint of the part with an id.
    pub fn of(id: &str) -> Self {
        let hash = Sha256::digest(id.as_bytes());
        let first = hash.iter().take(size_of::<u128>());
        Self(first.fold(0, |n, byte| (n << 8) | u128::from(*byte)))
    }

    /// Returns the fingerprint as a number, for messages.
    pub fn number(self) -> u128 {
        self.0
    }

    /// Restores a fingerprint from the number that another daemon sent.
    pub fn from_number(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for PartFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
