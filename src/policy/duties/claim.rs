use {
    crate::names::*,
    serde::{Deserialize, Serialize},
    uuid::Uuid,
};

/// What a claim is for: one request of one client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: ClientAccount,
    /// The request.
    pub request: RequestId,
}

/// Who claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxIncarnation {
    /// The box.
    pub id: BoxId,
    /// The life of the box; a later one knows nothing of an earlier one's claims.
    pub incarnation: u64,
}

/// A record of the log's `claims` stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimRecord {
    /// Asks for the right to run a request.
    Claim {
        /// The request.
        key: ClaimKey,
        /// Fresh for every claim.
        nonce: Uuid,
        /// Who asks.
        by: BoxIncarnation,
    },
    /// Gives up a right that was not used and can't be any more.
    Release {
        /// The request.
        key: ClaimKey,
        /// The claim that is given up.
        nonce: Uuid,
    },
}

impl ClaimRecord {
    /// Returns the key that the record is about.
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } => key,
        }
    }
}

/// The right to run a request once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Right {
    /// The request.
    pub key: ClaimKey,
    /// The claim that won.
    pub nonce: Uuid,
    /// The claim's offset in the log, plus one: the fencing token.
    pub fence: u64,
}
