use {super::PlatformError, async_trait::async_trait};

/// The store of model weights, which is rate-limited.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Requests a pull of a model's weights.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] if the rate limit is reached.
    async fn pull(&self, model: &str) -> Result<(), PlatformError>;
}
