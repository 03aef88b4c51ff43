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
    /// The path and query behind the service's name.
    pub path: String,
    /// The media type of the body, or empty.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A plain service's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body, or empty.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns how it failed, and whether it can have run. An answer of any
    /// status but a typed refusal is no failure.
    async fn call(
        &self,
        at: SocketAddr,
        call: &PlainCall,
        headers: HeaderMap,
        timeout: Duration,
    ) -> Result<PlainAnswer, EngineError>;
}
