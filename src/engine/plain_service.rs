use {
    super::EngineError,
    async_trait::async_trait,
    bytes::Bytes,
    http::HeaderMap,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query that follow the service's name in the client's URL.
    pub path: String,
    /// The media type of the body; empty if the client named none.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The full answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body; empty if the service named none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes a call and returns its answer; `timeout` limits the call as a whole.
    ///
    /// # Errors
    ///
    /// Returns how the call failed, and if the service may have run it. An answer of any status
    /// is a success, unless its header marks it as a refusal before the call started.
    async fn call(
        &self,
        at: SocketAddr,
        call: &PlainCall,
        headers: HeaderMap,
        timeout: Duration,
    ) -> Result<PlainAnswer, EngineError>;
}
