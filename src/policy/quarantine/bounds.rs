use {crate::conf::at_least_one, serde::Deserialize};

/// When a request is held back under which upstreams end.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineBounds {
    /// How many upstreams may end under it. Two are a coincidence now and then: a request
    /// is sent on when its upstream is lost, and that one may be lost as well.
    #[serde(deserialize_with = "at_least_one")]
    pub ends: usize,
    /// For how long after the last of them it is held back, in seconds. Then one more end
    /// holds it back again. A default without a measurement: longer than callers go on
    /// asking by themselves, short enough for engines that were mended meanwhile.
    pub hold_s: u64,
}

impl Default for QuarantineBounds {
    fn default() -> Self {
        Self {
            ends: 3,
            hold_s: 600,
        }
    }
}

impl QuarantineBounds {
    /// Returns for how long a request is held back, in milliseconds.
    pub fn hold_ms(&self) -> u64 {
        self.hold_s * 1_000
    }
}
