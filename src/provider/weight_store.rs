use {super::PlatformError, async_trait::async_trait};

/// The store of model weights, which is rate-limited.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Asks for a pull of a model's weights.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Refused`] if the rate is used up.
    async fn pull(&self, model: &str) -> Result<(), PlatformError>;
}
