use crate::routing::Route;

/// Expected time between events if the route names none, in milliseconds.
const DEFAULT_GAP_MS: u64 = 1_000;
/// How many times the expected time between events an upstream may be silent on all
/// connections.
const MAX_SILENT_GAPS: f64 = 1.4;
/// How many times the expected time between events a stream may pause while its upstream
/// serves other requests.
const MAX_PAUSED_GAPS: f64 = 4.0;
/// How many times the target latency the first event may take while the upstream is silent
/// on all connections.
const MAX_FIRST_SILENT: f64 = 0.8;
/// How many times the target latency the first event may take while the upstream serves
/// other requests.
const MAX_FIRST_PAUSED: f64 = 3.0;

/// How long to wait for the next event of a stream before the stream is moved to another
/// upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallLimits {
    /// Limit while the upstream is silent on all connections, in milliseconds.
    pub silent_ms: u64,
    /// Limit while the upstream serves other requests, in milliseconds.
    pub paused_ms: u64,
}

impl StallLimits {
    /// Returns the limits for a route's streams. `began` is true after the first event.
    pub fn of(route: &Route, began: bool) -> Self {
        let gap_ms = route.event_gap_ms.unwrap_or(DEFAULT_GAP_MS) as f64;
        let target_ms = route.target_latency_ms as f64;
        let (silent, paused) = match began {
            true => (gap_ms * MAX_SILENT_GAPS, gap_ms * MAX_PAUSED_GAPS),
            false => (target_ms * MAX_FIRST_SILENT, target_ms * MAX_FIRST_PAUSED),
        };
        Self {
            silent_ms: silent as u64,
            paused_ms: paused as u64,
        }
    }

    /// Returns whether a stream should be moved, after `waited_ms` without an event of this
    /// stream and `silent_ms` without an event of its upstream on any connection.
    pub fn is_stalled(&self, waited_ms: u64, silent_ms: u64) -> bool {
        waited_ms >= self.paused_ms || (waited_ms >= self.silent_ms && silent_ms >= self.silent_ms)
    }
}
