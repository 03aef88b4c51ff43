use {
    crate::{
        names::{RequestFingerprint, UpstreamId},
        policy::KnownCrash,
    },
    bincode::{Decode, Encode},
};

/// Datagram in which a daemon announces crashes of upstreams under requests. Repeated and
/// reordered datagrams lead to the same state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CrashesPart {
    /// True if a hub sends the part to other hubs. These pass it on only to the daemons that
    /// report to them.
    pub among_hubs: bool,
    /// The announced crashes.
    pub ends: Vec<AnnouncedCrash>,
}

/// A crash of an upstream under a request, as it is announced.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedCrash {
    /// The fingerprint of the request.
    pub fingerprint: u128,
    /// The id of the upstream.
    pub upstream: String,
    /// The time since the crash when the part was sent, in milliseconds.
    pub age_ms: u32,
    /// How long the request had been at the upstream when it crashed, in milliseconds.
    pub ran_ms: u32,
    /// True if the request has been answered completely since the crash.
    pub is_cleared: bool,
}

impl AnnouncedCrash {
    /// Converts a known crash into its announced form.
    pub fn of(known: &KnownCrash) -> Self {
        Self {
            fingerprint: known.fingerprint.number(),
            upstream: known.upstream.to_string(),
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
            ran_ms: u32::try_from(known.ran_ms).unwrap_or(u32::MAX),
            is_cleared: known.is_cleared,
        }
    }

    /// Converts the announcement back into a known crash.
    pub fn to_known(&self) -> KnownCrash {
        KnownCrash {
            fingerprint: RequestFingerprint::from_number(self.fingerprint),
            upstream: UpstreamId::from(self.upstream.as_str()),
            age_ms: u64::from(self.age_ms),
            ran_ms: u64::from(self.ran_ms),
            is_cleared: self.is_cleared,
        }
    }
}
