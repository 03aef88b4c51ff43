use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    uuid::Uuid,
};

/// The body of an engine's `POST /v1/completions`.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionRequest<'a> {
    /// The identifier of the request.
    pub request_id: Uuid,
    /// The number of the attempt.
    pub attempt: u32,
    /// The text of the prompt.
    pub prompt: &'a str,
    /// The tokens that earlier attempts generated; the engine continues after them.
    pub generated: &'a [Arc<str>],
    /// Maximum length of the full answer, in tokens.
    pub max_tokens: usize,
    /// Priority in the engine's queue; higher values run first.
    pub priority: u8,
}

/// One event of an engine's answer.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionFrame {
    /// The identifier of the request.
    pub request_id: Uuid,
    /// The number of the attempt.
    pub attempt: u32,
    /// The offset of the first token in the answer.
    pub offset: usize,
    /// The generated tokens.
    pub tokens: Vec<Arc<str>>,
    /// The length of the full answer, in tokens; set only on the last frame.
    pub total: Option<usize>,
    /// The input of the attempt; set only on the first frame.
    pub usage: Option<EngineUsage>,
}

/// The input tokens of an attempt.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt and of those that earlier attempts generated.
    pub prompt_tokens: u32,
    /// The part of `prompt_tokens` that was found in the prefix cache.
    pub cached_tokens: u32,
}

/// An engine's report of its load, which lags behind the actual load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Maximum number of requests that the engine decodes at once.
    pub slots: u32,
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait in the engine's queue.
    pub waiting: u32,
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Duration of a decoding step with one running request, in milliseconds.
    pub step_ms: f64,
    /// Time that each further running request adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// The loaded model; empty if none is loaded.
    pub model: String,
    /// Time of the measurement, in Unix milliseconds.
    pub as_of_ms: u64,
}

/// One event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event.
    pub seq: u64,
    /// What happened to the block.
    pub kind: CacheEventKind,
    /// The hash of the prefix that ends with the block.
    pub hash: u64,
}

/// What happened to a block of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was removed.
    Removed,
}

/// The body of an engine's `POST /v1/kv/import`.
#[derive(Clone, Debug, Serialize)]
pub struct ImportRequest {
    /// The identifier of the request.
    pub request_id: Uuid,
    /// The address of the engine that holds the request's KV cache.
    pub from: SocketAddr,
}

/// An order to an engine, fenced by the lease of its sender.
#[derive(Clone, Debug, Serialize)]
pub struct EngineOrder {
    /// What the engine has to do.
    pub kind: EngineOrderKind,
    /// The model to load, or the role to take.
    pub value: String,
    /// The fencing token of the sender's lease.
    pub fence: u64,
}

/// The kinds of orders to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineOrderKind {
    /// Load a model, adapter or version.
    LoadModel,
    /// Change the engine's role.
    SetRole,
}
