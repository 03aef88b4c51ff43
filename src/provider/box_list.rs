use {super::PlatformError, crate::policy::BoxFact, async_trait::async_trait};

/// The platform's list of live and leaving boxes, which lags behind their actual state.
#[async_trait]
pub trait BoxList: Send + Sync {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn list(&self) -> Result<Vec<BoxFact>, PlatformError>;
}
