use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    uuid::Uuid,
};

/// The body of an engine's `POST /v1/completions`.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionRequest<'a> {
    /// The request.
    pub request_id: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// The prompt.
    pub prompt: &'a str,
    /// The tokens that earlier attempts generated.
    pub generated: &'a [Arc<str>],
    /// Length of the whole answer, in tokens.
    pub max_tokens: usize,
    /// Higher goes first.
    pub priority: u8,
}

/// One event of an engine's answer.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionFrame {
    /// The request.
    pub request_id: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// The offset of the first token.
    pub offset: usize,
    /// The tokens.
    pub tokens: Vec<Arc<str>>,
    /// The length of the whole answer, on the last frame.
    pub total: Option<usize>,
    /// What the attempt had to take in, on the first frame.
    pub usage: Option<EngineUsage>,
}

/// What an attempt had to take in.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt and of what was generated before.
    pub prompt_tokens: u32,
    /// Of these, how many were cached.
    pub cached_tokens: u32,
}

/// An engine's report of its load, which lags.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that it decodes at once.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens that it takes in a second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds of a step with one request running.
    pub step_ms: f64,
    /// Milliseconds that each further request adds to a step.
    pub step_ms_per_request: f64,
    /// The model that is loaded, or empty.
    pub model: String,
    /// When this was true, in Unix milliseconds.
    pub as_of_ms: u64,
}

/// One event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize)]
pub struct CacheEvent {
    /// Its place in the sequence.
    pub seq: u64,
    /// Whether the block was stored or removed.
    pub kind: CacheEventKind,
    /// The hash of the prefix that ends with the block.
    pub hash: u64,
}

/// What happened to a block of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was removed.
    Removed,
}

/// The body of an engine's `POST /v1/kv/import`.
#[derive(Clone, Debug, Serialize)]
pub struct ImportRequest {
    /// The request.
    pub request_id: Uuid,
    /// The engine that holds its KV cache.
    pub from: SocketAddr,
}

/// A fenced order to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineOrder {
    /// What is ordered.
    pub kind: EngineOrderKind,
    /// The model or role.
    pub value: String,
    /// The fencing token of the orderer's lease.
    pub fence: u64,
}

/// What can be ordered from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineOrderKind {
    /// To load a model, adapter or version.
    LoadModel,
    /// To change its role.
    SetRole,
}
