use serde::{Deserialize, Serialize};

/// Settings of a model engine's stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Name of the engine.
    pub name: String,
    /// Model that is loaded at the start; empty for none.
    pub model: String,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Duration of a step with one running request, in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each further request adds to a step.
    pub step_ms_per_request: f64,
    /// Tokens prefilled a second.
    pub prefill_tokens_per_s: f64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// How long a sequence is retained without a reader, in milliseconds.
    pub resume_grace_ms: u64,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay before a cache event is published, in milliseconds.
    pub events_lag_ms: u64,
    /// Withholds every n-th cache event; 0 publishes all.
    pub events_gap: u64,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Transfer rate of KV caches, in bytes a millisecond.
    pub kv_bytes_per_ms: f64,
    /// Adds the engine's name to each token, so that the answers of two engines
    /// always differ.
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
