use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    uuid::Uuid,
};

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The request, for resume, cancel and export.
    pub request_id: Uuid,
    /// The attempt; it comes back in every frame.
    #[serde(default)]
    pub attempt: u32,
    /// The prompt.
    pub prompt: String,
    /// What earlier attempts generated.
    #[serde(default)]
    pub generated: Vec<String>,
    /// Length of the whole answer in tokens.
    pub max_tokens: usize,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u8,
}

/// One event of the answer's stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionFrame {
    /// The request.
    pub request_id: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// The offset of the first token.
    pub offset: usize,
    /// The tokens.
    pub tokens: Vec<String>,
    /// The length of the whole answer, on the last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub total: Option<usize>,
    /// What the attempt computed, on the first frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// What an attempt had to take in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt and of what was generated before.
    pub prompt_tokens: usize,
    /// Of these, how many were cached.
    pub cached_tokens: usize,
}

/// The answer of `GET /v1/load`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
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
    #[serde(default)]
    pub model: String,
    /// When this was true, in Unix milliseconds.
    pub as_of_ms: u64,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its place in the sequence; a gap shows that events are missing.
    pub seq: u64,
    /// `stored` or `removed`.
    pub kind: String,
    /// The hash of the prefix that ends with the block.
    pub hash: u64,
}

/// The body of `POST /v1/kv/import`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImportRequest {
    /// The request.
    pub request_id: Uuid,
    /// The engine that holds the KV cache.
    pub from: SocketAddr,
}

/// The answer of `POST /v1/kv/export`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvExport {
    /// The request.
    pub request_id: Uuid,
    /// Tokens in the KV cache.
    pub tokens: usize,
    /// Its size in bytes.
    pub bytes: u64,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineOrder {
    /// `load-model` or `set-role`.
    pub kind: String,
    /// What to load, or the role.
    pub value: String,
    /// The fencing token of the orderer's lease.
    pub fence: u64,
}
