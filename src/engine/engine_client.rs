use {
    super::*, async_trait::async_trait, std::net::SocketAddr, tokio::sync::mpsc::Receiver,
    uuid::Uuid,
};

/// The frames of an answer as they come; the channel closes after an error.
pub type Frames = Receiver<Result<CompletionFrame, EngineError>>;

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts or resumes an answer.
    ///
    /// # Errors
    ///
    /// Returns how the call failed, and whether it can have run.
    async fn complete(
        &self,
        at: SocketAddr,
        ask: CompletionRequest<'_>,
    ) -> Result<Frames, EngineError>;

    /// Ends a request.
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

    /// Returns the cache events from a place in the sequence on.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn cache_events(&self, at: SocketAddr, from: u64)
    -> Result<Vec<CacheEvent>, EngineError>;

    /// Makes an engine fetch a request's KV cache from another; returns when it has it.
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

    /// Gives a fenced order.
    ///
    /// # Errors
    ///
    /// [`EngineError::Fenced`] if a later lease gave orders before.
    async fn order(&self, at: SocketAddr, order: &EngineOrder) -> Result<(), EngineError>;
}
