use crate::routing::Route;

/// The pause between events that is expected where a route names none, in
/// milliseconds.
const DEFAULT_GAP_MS: u64 = 1_000;
/// How many times the wanted pause an upstream may be silent on all connections.
const SILENT_GAPS: f64 = 1.4;
/// How many times the wanted pause a stream may pause while its upstream
/// serves others.
const PAUSED_GAPS: f64 = 4.0;
/// How many times the wanted latency a first event may take.
const FIRST_SILENT: f64 = 0.8;
const FIRST_PAUSED: f64 = 3.0;

/// How long a stream is waited for before it is moved to another upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallLimits {
    /// While the upstream sends nothing to anybody, in milliseconds.
    pub silent_ms: u64,
    /// While it serves others, in milliseconds.
    pub paused_ms: u64,
}

impl StallLimits {
    /// Returns the limits before or after the first event.
    pub fn of(route: &Route, began: bool) -> Self {
        let gap_ms = route.event_gap_ms.unwrap_or(DEFAULT_GAP_MS) as f64;
        let target_ms = route.target_latency_ms as f64;
        let (silent, paused) = match began {
            true => (gap_ms * SILENT_GAPS, gap_ms * PAUSED_GAPS),
            false => (target_ms * FIRST_SILENT, target_ms * FIRST_PAUSED),
        };
        Self {
            silent_ms: silent as u64,
            paused_ms: paused as u64,
        }
    }

    /// Returns whether a stream should be moved.
    pub fn is_stalled(&self, waited_ms: u64, silent_ms: u64) -> bool {
        waited_ms >= self.paused_ms || (waited_ms >= self.silent_ms && silent_ms >= self.silent_ms)
    }
}
