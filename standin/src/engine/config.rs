use serde::{Deserialize, Serialize};

/// How a model engine's stand-in behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Its name.
    pub name: String,
    /// The model that it has loaded, or empty.
    pub model: String,
    /// Requests that it decodes at once.
    pub slots: u32,
    /// Milliseconds of a step with one request running.
    pub step_ms: f64,
    /// Milliseconds that each further request adds to a step.
    pub step_ms_per_request: f64,
    /// Prompt tokens that it takes in a second.
    pub prefill_tokens_per_s: f64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How long a sequence goes on without its reader, in milliseconds.
    pub resume_grace_ms: u64,
    /// How old the load is that it reports, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events are published, in milliseconds.
    pub events_lag_ms: u64,
    /// Every n-th cache event is never published; 0 for none.
    pub events_gap: u64,
    /// Bytes of KV cache a token.
    pub kv_bytes_per_token: u64,
    /// Bytes of KV cache sent in a millisecond.
    pub kv_bytes_per_ms: f64,
    /// Whether its name is woven into its tokens, so that two engines never
    /// word an answer alike.
    pub salted: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            name: "engine".to_string(),
            model: "assistant".to_string(),
            slots: 16,
            step_ms: 10.0,
            step_ms_per_request: 0.5,
            prefill_tokens_per_s: 8_000.0,
            cache_blocks: 4_096,
            resume_grace_ms: 5_000,
            load_lag_ms: 300,
            events_lag_ms: 300,
            events_gap: 7,
            kv_bytes_per_token: 100_000,
            kv_bytes_per_ms: 1_000_000.0,
            salted: false,
        }
    }
}
