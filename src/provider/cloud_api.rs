use {
    super::PlatformError,
    crate::{names::*, policy::BoxClass},
    async_trait::async_trait,
    serde::{Deserialize, Serialize},
};

/// A notice that a box will be taken back.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ReclaimNotice {
    /// Its place in the sequence of notices.
    pub seq: u64,
    /// The box.
    pub id: BoxId,
    /// Which life of the box.
    pub incarnation: u64,
    /// When it is taken, in Unix milliseconds.
    pub leaves_at_ms: u64,
}

/// An order for one box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxOrder {
    /// The same token orders once, however often it is sent.
    pub client_token: String,
    /// The fencing token of the orderer's lease.
    pub fence: u64,
    /// Where the box shall stand.
    pub failure_domain: FailureDomain,
    /// Its price class.
    pub class: BoxClass,
    /// The service that it shall serve.
    pub service: ServiceName,
}

/// The cloud API: reclaim notices, and orders for boxes.
#[async_trait]
pub trait CloudApi: Send + Sync {
    /// Returns the notices from a place in the sequence on, and waits for one.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn notices(&self, from: u64, wait_ms: u64) -> Result<Vec<ReclaimNotice>, PlatformError>;

    /// Orders a box.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unknown`] if it may have been ordered: settle it with [`CloudApi::orders`].
    async fn order(&self, order: &BoxOrder) -> Result<(), PlatformError>;

    /// Returns the orders that were taken.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn orders(&self) -> Result<Vec<BoxOrder>, PlatformError>;
}
