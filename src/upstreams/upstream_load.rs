use {
    crate::names::UpstreamId,
    std::{collections::HashMap, time::Duration},
};

/// How much one more outcome moves an upstream's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// After how long without failures a failure rate has halved.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// How long an upstream that could not be reached is left alone at first.
const FIRST_BACKOFF_MS: u64 = 400;
const MAX_BACKOFF_MS: u64 = 2_000;
/// How long an upstream is left alone whose address another has: its entry goes after
/// three heartbeats, of one to two seconds each.
const MISDIRECTED_MS: u64 = 6_000;

/// How an upstream fares, as seen from this daemon. Times are milliseconds of
/// the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    /// Requests that are there now.
    pub active: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pub waiting_tokens: u64,
    /// When it last sent anything.
    pub last_progress_ms: u64,
    failure_rate: f64,
    failure_at_ms: u64,
    backoff_ms: u64,
    avoid_until_ms: u64,
}

impl UpstreamLoad {
    /// Notes that it could not be reached or fell silent.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        if now_ms < self.avoid_until_ms {
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.avoid_until_ms = now_ms + self.backoff_ms;
    }

    /// Notes that another upstream has its address. Without this, each request found
    /// that out anew, and one that met two such addresses was refused.
    pub fn record_misdirected(&mut self, now_ms: u64) {
        self.backoff_ms = MAX_BACKOFF_MS;
        self.avoid_until_ms = now_ms + MISDIRECTED_MS;
    }

    /// Notes that it sent something.
    pub fn record_progress(&mut self, now_ms: u64) {
        self.last_progress_ms = now_ms;
        self.backoff_ms = 0;
        self.avoid_until_ms = 0;
    }

    /// Notes how a request there ended.
    pub fn record_outcome(&mut self, failed: bool, now_ms: u64) {
        let rate = self.failure_rate(now_ms);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + FAILURE_WEIGHT * (outcome - rate);
        self.failure_at_ms = now_ms;
    }

    /// Returns the share of late requests that failed.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        if self.failure_rate <= 0.0 {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.failure_at_ms) as f64;
        let half_lives = age_ms / FAILURE_HALF_LIFE.as_millis() as f64;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Returns whether it is to be left alone now. One that could not be
    /// reached gets one request at a time until it answers.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        let on_probation = self.backoff_ms > 0 && self.active > 0;
        now_ms < self.avoid_until_ms || on_probation
    }
}

/// How all upstreams fare.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<UpstreamId, UpstreamLoad>,
}

impl LoadTable {
    /// Returns an upstream's figures, to change them.
    pub fn entry(&mut self, id: &UpstreamId) -> &mut UpstreamLoad {
        self.loads.entry(id.clone()).or_default()
    }

    /// Returns an upstream's figures.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamLoad> {
        self.loads.get(id)
    }

    /// Returns all figures.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamLoad)> {
        self.loads.iter()
    }

    /// Forgets upstreams that `is_known` doesn't know and that do nothing.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads
            .retain(|id, load| load.active > 0 || is_known(id));
    }
}
