use {
    super::ClientAccount,
    sha2::{Digest, Sha256},
    std::fmt,
};

/// What a request is known by when it comes again: its caller, method, path and body.
/// All daemons compute the same for the same request, whatever the id of its attempt.
///
/// A cryptographic hash, so that no caller can make a request that passes for another
/// one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Computes the fingerprint of a request; no account stands for a public route.
    pub fn of(account: Option<&ClientAccount>, method: &str, target: &str, body: &[u8]) -> Self {
        let caller = account.map_or("", ClientAccount::as_str);
        let mut hasher = Sha256::new();
        for field in [caller.as_bytes(), method.as_bytes(), target.as_bytes()] {
            // Lengths keep fields apart.
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

    /// Makes a fingerprint of a number that another daemon told.
    pub fn from_number(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
