use {
    super::ClientAccount,
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Identifies a request that a client sends again: a hash of its client account, method, path
/// and body. All daemons compute the same fingerprint for the same request, whatever the id of
/// the attempt.
///
/// The hash is cryptographic, so that no client can make a request that collides with the
/// request of another client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Computes the fingerprint of a request; requests of public routes have no account.
    pub fn of(account: Option<&ClientAccount>, method: &str, target: &str, body: &[u8]) -> Self {
        let caller = account.map_or("", ClientAccount::as_str);
        let mut hasher = Sha256::new();
        for field in [caller.as_bytes(), method.as_bytes(), target.as_bytes()] {
            // The length prefixes separate the fields unambiguously.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update(body);
        let hash = hasher.finalize();
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

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
