use {crate::conf::at_least_one, serde::Deserialize};

/// Settings that decide when and for how long a request, or a part of prompts, is held back because
/// upstreams crash while they run it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineBounds {
    /// Number of crashes after which the request is held back. Two crashes happen by
    /// coincidence: a request is retried when its upstream is lost, and the next upstream may
    /// be lost as well.
    #[serde(deserialize_with = "at_least_one")]
    pub ends: usize,
    /// Number of crashes after which a part of prompts is held back. It is present at more crashes by
    /// coincidence than a single request.
    #[serde(deserialize_with = "at_least_one")]
    pub part_ends: usize,
    /// How long a request or a part is held back after its last crash, in seconds. Afterwards, one
    /// more crash holds it back again. The default is longer than callers retry on their own,
    /// and short enough to let requests through soon after a faulty engine is fixed.
    pub hold_s: u64,
}

impl Default for QuarantineBounds {
    fn default() -> Self {
        Self {
            ends: 3,
            part_ends: 4,
            hold_s: 600,
        }
    }
}

impl QuarantineBounds {
    /// Returns how long a request or a part is held back after its last crash, in milliseconds.
    pub fn hold_ms(&self) -> u64 {
        self.hold_s * 1_000
    }
}
