use {
    crate::{
        names::{PartFingerprint, UpstreamId},
        policy::{AccountHash, KnownPartCrash, KnownSurvival},
    },
    bincode::{Decode, Encode},
};

/// Announcement of prompts' parts during which upstreams crashed. Repeated and reordered
/// announcements lead to the same state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartCrashesPart {
    /// True if a hub sends the part to other hubs. These pass it on only to the daemons that report to
    /// them.
    pub among_hubs: bool,
    /// The announced parts, one entry for each crash.
    pub crashes: Vec<AnnouncedPartCrash>,
    /// Answers that cleared parts of crashes.
    pub survivals: Vec<AnnouncedSurvival>,
}

/// A part of prompts at a crash of an upstream, as it is announced.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedPartCrash {
    /// The fingerprint of the part.
    pub part: u128,
    /// The id of the upstream.
    pub upstream: String,
    /// The time since the crash when the announcement was sent, in milliseconds.
    pub age_ms: u32,
    /// How long the upstream had been answering the longest of the requests with the part, in
    /// milliseconds.
    pub answering_ms: u32,
    /// How deep in these prompts the part was: 0 for the first part.
    pub depth: u8,
    /// Hashes of the client accounts of these requests.
    pub accounts: Vec<u32>,
    /// True if the sender holds the part back.
    pub is_held: bool,
}

/// An answer that cleared a part of crashes, as it is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnnouncedSurvival {
    /// The fingerprint of the part.
    pub part: u128,
    /// For how long the upstream had been answering, in milliseconds; none if the answer was whole.
    pub answering_ms: Option<u32>,
    /// The time between then and the announcement, in milliseconds.
    pub age_ms: u32,
}

impl AnnouncedSurvival {
    /// Converts a known survival into its announced form.
    pub fn of(known: &KnownSurvival) -> Self {
        let answering_ms = known.answering_ms;
        Self {
            part: known.part.number(),
            answering_ms: answering_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
        }
    }

    /// Converts the announcement back.
    pub fn to_known(self) -> KnownSurvival {
        KnownSurvival {
            part: PartFingerprint::from_number(self.part),
            answering_ms: self.answering_ms.map(u64::from),
            age_ms: u64::from(self.age_ms),
        }
    }
}

impl AnnouncedPartCrash {
    /// Converts a known part at a crash into its announced form.
    pub fn of(known: &KnownPartCrash) -> Self {
        Self {
            part: known.part.number(),
            upstream: known.upstream.to_string(),
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
            answering_ms: u32::try_from(known.answering_ms).unwrap_or(u32::MAX),
            depth: known.depth,
            accounts: known.accounts.iter().map(|account| account.0).collect(),
            is_held: known.is_held,
        }
    }

    /// Converts the announcement back.
    pub fn to_known(&self) -> KnownPartCrash {
        KnownPartCrash {
            part: PartFingerprint::from_number(self.part),
            upstream: UpstreamId::from(self.upstream.as_str()),
            age_ms: u64::from(self.age_ms),
            answering_ms: u64::from(self.answering_ms),
            depth: self.depth,
            accounts: self.accounts.iter().copied().map(AccountHash).collect(),
            is_held: self.is_held,
        }
    }
}
