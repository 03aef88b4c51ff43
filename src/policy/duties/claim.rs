use {
    crate::names::*,
    serde::{Deserialize, Serialize},
    uuid::Uuid,
};

/// The object of a claim: one request of one client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: ClientAccount,
    /// The request.
    pub request: RequestId,
}

/// A box in one incarnation, as the holder of a claim or a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxIncarnation {
    /// The box.
    pub id: BoxId,
    /// The box's incarnation; a later incarnation knows no claims of an earlier one.
    pub incarnation: u64,
}

/// A record of the log's `claims` stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimRecord {
    /// Claims the right to run a request.
    Claim {
        /// The request.
        key: ClaimKey,
        /// Unique to the claim.
        nonce: Uuid,
        /// The box that claims the right.
        by: BoxIncarnation,
    },
    /// Gives up a right that was not used and can no longer be used.
    Release {
        /// The request.
        key: ClaimKey,
        /// The nonce of the claim that is given up.
        nonce: Uuid,
    },
}

impl ClaimRecord {
    /// Returns the key of the claim.
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } => key,
        }
    }
}

/// The right to run a request once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExecutionRight {
    /// The request.
    pub key: ClaimKey,
    /// The nonce of the claim that won the right.
    pub nonce: Uuid,
    /// The fencing token: the claim's offset in the log, plus one.
    pub fence: u64,
}
