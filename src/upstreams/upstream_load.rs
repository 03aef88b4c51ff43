use {
    crate::names::UpstreamId,
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest outcome in an upstream's moving failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which a failure rate halves without new outcomes.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// First backoff after an upstream could not be reached; it doubles up to the maximum.
const FIRST_BACKOFF_MS: u64 = 400;
const MAX_BACKOFF_MS: u64 = 2_000;
/// Backoff for an upstream whose address belongs to another upstream: its stale entry is
/// removed after three heartbeats of one to two seconds each.
const MISDIRECTED_BACKOFF_MS: u64 = 6_000;

/// The load and the failures of an upstream as this daemon sees them. Times are
/// milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    /// Requests of this daemon that are at the upstream now.
    pub active: u32,
    /// Prompt tokens of the requests whose responses have not begun.
    pub waiting_tokens: u64,
    /// Prompt and output tokens that the active requests hold in the upstream's memory.
    pub held_tokens: u64,
    /// When the upstream last sent anything.
    pub last_progress_ms: u64,
    failure_rate: f64,
    failure_at_ms: u64,
    backoff_ms: u64,
    avoid_until_ms: u64,
}

impl UpstreamLoad {
    /// Records that the upstream could not be reached or stopped sending, and starts a
    /// backoff unless one is running.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        if now_ms < self.avoid_until_ms {
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.avoid_until_ms = now_ms + self.backoff_ms;
    }

    /// Records that another upstream has this upstream's address. Without the backoff each
    /// request would be misdirected again, and a request that meets two such addresses is
    /// refused.
    pub fn record_misdirected(&mut self, now_ms: u64) {
        self.backoff_ms = MAX_BACKOFF_MS;
        self.avoid_until_ms = now_ms + MISDIRECTED_BACKOFF_MS;
    }

    /// Records that the upstream sent something, which ends the backoff.
    pub fn record_progress(&mut self, now_ms: u64) {
        self.last_progress_ms = now_ms;
        self.end_backoff();
    }

    /// Ends the backoff: the upstream is reached in another way.
    pub fn end_backoff(&mut self) {
        self.backoff_ms = 0;
        self.avoid_until_ms = 0;
    }

    /// Records the outcome of a request at the upstream.
    pub fn record_outcome(&mut self, failed: bool, now_ms: u64) {
        let rate = self.failure_rate(now_ms);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + FAILURE_WEIGHT * (outcome - rate);
        self.failure_at_ms = now_ms;
    }

    /// Returns the moving share of requests that failed, which decays with the time since
    /// the last outcome.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        if self.failure_rate <= 0.0 {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.failure_at_ms) as f64;
        let half_lives = age_ms / FAILURE_HALF_LIFE.as_millis() as f64;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Returns true if the upstream must not get another request now: during its backoff,
    /// and after it while a request is active there. An upstream that could not be reached
    /// gets one request at a time until it answers.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        let on_probation = self.backoff_ms > 0 && self.active > 0;
        now_ms < self.avoid_until_ms || on_probation
    }
}

/// The loads of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<UpstreamId, UpstreamLoad>,
}

impl LoadTable {
    /// Returns an upstream's load for a change; an unknown upstream is added.
    pub fn entry(&mut self, id: &UpstreamId) -> &mut UpstreamLoad {
        self.loads.entry(id.clone()).or_default()
    }

    /// Returns an upstream's load.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamLoad> {
        self.loads.get(id)
    }

    /// Returns all loads.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamLoad)> {
        self.loads.iter()
    }

    /// Removes upstreams that have no active request and for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads
            .retain(|id, load| load.active > 0 || is_known(id));
    }
}
