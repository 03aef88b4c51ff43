use {
    super::*, async_trait::async_trait, std::net::SocketAddr, tokio::sync::mpsc::Receiver,
    uuid::Uuid,
};

/// Receives the frames of an answer as they arrive; the channel closes after the last frame or
/// an error.
pub type Frames = Receiver<Result<CompletionFrame, EngineError>>;

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts or resumes the generation of an answer and returns its frames.
    ///
    /// # Errors
    ///
    /// Returns how the call failed, and if the engine may have run it.
    async fn complete(
        &self,
        at: SocketAddr,
        completion: CompletionRequest<'_>,
    ) -> Result<Frames, EngineError>;

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn cancel(&self, at: SocketAddr, request: Uuid) -> Result<(), EngineError>;

    /// Returns the engine's load.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn load(&self, at: SocketAddr) -> Result<EngineLoad, EngineError>;

    /// Returns the events of the engine's prefix cache from a sequence number on.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn cache_events(&self, at: SocketAddr, from: u64)
    -> Result<Vec<CacheEvent>, EngineError>;

    /// Makes the engine at `to` fetch a request's KV cache from the engine at `from`; returns
    /// when the transfer is complete.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn import_kv(
        &self,
        to: SocketAddr,
        from: SocketAddr,
        request: Uuid,
    ) -> Result<(), EngineError>;

    /// Sends an order with the fencing token of the sender's lease.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Fenced`] if the engine has already received an order of a later
    /// lease.
    async fn order(&self, at: SocketAddr, order: &EngineOrder) -> Result<(), EngineError>;
}
