use serde::{Deserialize, Serialize};

/// Limits on the size of client requests and on the time that clients may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientLimits {
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time for a body to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// The maximum idle time of a connection between two requests, in milliseconds.
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
