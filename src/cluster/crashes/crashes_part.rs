use {
    crate::{
        names::{RequestFingerprint, UpstreamId},
        policy::KnownCrash,
    },
    bincode::{Decode, Encode},
};

/// Upstreams that ended under requests, as a daemon tells others. What is told again, or
/// out of order, changes nothing.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CrashesPart {
    /// Whether a hub tells other hubs: these tell only those that report to them.
    pub among_hubs: bool,
    /// The ends.
    pub ends: Vec<AnnouncedCrash>,
}

/// A crash of an upstream under a request, as it is announced.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedCrash {
    /// The request's fingerprint.
    pub fingerprint: u128,
    /// The upstream.
    pub upstream: String,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
    /// For how long the request had been there by then, in milliseconds.
    pub ran_ms: u32,
    /// Whether the request was answered whole since.
    pub is_cleared: bool,
}

impl AnnouncedCrash {
    /// Makes the message of what is known.
    pub fn of(known: &KnownCrash) -> Self {
        Self {
            fingerprint: known.fingerprint.number(),
            upstream: known.upstream.to_string(),
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
            ran_ms: u32::try_from(known.ran_ms).unwrap_or(u32::MAX),
            is_cleared: known.is_cleared,
        }
    }

    /// Returns what is known by the message.
    pub fn known(&self) -> KnownCrash {
        KnownCrash {
            fingerprint: RequestFingerprint::from_number(self.fingerprint),
            upstream: UpstreamId::from(self.upstream.as_str()),
            age_ms: u64::from(self.age_ms),
            ran_ms: u64::from(self.ran_ms),
            is_cleared: self.is_cleared,
        }
    }
}
