use serde::{Deserialize, Serialize};

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientLimits {
    /// The largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a body may take to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// How long a connection may rest between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout_ms: 20_000,
            idle_timeout_ms: 60_000,
        }
    }
}
