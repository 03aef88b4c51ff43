use {
    super::PlatformError,
    crate::{names::*, policy::BoxClass},
    async_trait::async_trait,
    serde::{Deserialize, Serialize},
};

/// A notice that the platform will reclaim a box.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ReclaimNotice {
    /// The sequence number of the notice.
    pub seq: u64,
    /// The box to be reclaimed.
    pub id: BoxId,
    /// The incarnation of the box.
    pub incarnation: u64,
    /// When the box is reclaimed, in Unix milliseconds.
    pub leaves_at_ms: u64,
}

/// An order for one box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxOrder {
    /// Makes the order idempotent: orders with the same token order one box.
    pub client_token: String,
    /// The fencing token of the sender's lease.
    pub fence: u64,
    /// The failure domain of the new box.
    pub failure_domain: FailureDomain,
    /// The price class of the new box.
    pub class: BoxClass,
    /// The service that the new box runs.
    pub service: ServiceName,
}

/// The cloud API: reclaim notices, and orders for boxes.
#[async_trait]
pub trait CloudApi: Send + Sync {
    /// Returns the notices from a sequence number on; waits up to `wait_ms` if there are none yet.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn notices(&self, from: u64, wait_ms: u64) -> Result<Vec<ReclaimNotice>, PlatformError>;

    /// Orders a box.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unknown`] if the platform may have accepted the order, which
    /// [`CloudApi::orders`] then shows.
    async fn order(&self, order: &BoxOrder) -> Result<(), PlatformError>;

    /// Returns the orders that the platform has accepted.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn orders(&self) -> Result<Vec<BoxOrder>, PlatformError>;
}
