use {super::VersionCounts, std::collections::HashMap};

/// Multiple of a route's mean latency above which an answer counts as slow. Bad versions
/// are several times slower, while the latencies of different prompts mostly differ by less.
const SLOW_FACTOR: f64 = 2.5;
/// Minimum number of answers before a route's mean latency is used.
const MIN_LATENCY_SAMPLES: u32 = 8;
/// Weight of the newest answer in a route's mean latency.
const LATENCY_WEIGHT: f64 = 0.05;
/// Maximum number of routes that are counted separately; all others are counted together.
const MAX_ROUTES: usize = 32;
/// The key under which all routes that are not counted separately are counted.
pub const OTHER_ROUTES: u32 = 0;

/// Mean latency of a route's answers at the old versions, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct RouteLatency {
    mean_ms: f64,
    answers: u32,
}

/// Counts the answers that one daemon saw during a service's rollout, by route and
/// version.
#[derive(Clone, Debug, Default)]
pub struct OutcomeMeter {
    /// The offset of the rollout order to which the counts belong.
    order: u64,
    counts: HashMap<u32, VersionCounts>,
    latency: HashMap<u32, RouteLatency>,
}

impl OutcomeMeter {
    /// Clears the counts if they belong to another order; the latencies stay.
    pub fn for_order(&mut self, order: u64) -> &mut Self {
        if self.order != order {
            self.order = order;
            self.counts.clear();
        }
        self
    }

    /// Records an answer; `time_ms` is the time to its head or first event, or none if the
    /// request failed.
    pub fn record(&mut self, route: u32, is_target: bool, time_ms: Option<f64>) {
        let is_counted = self.counts.contains_key(&route) || self.counts.len() < MAX_ROUTES;
        let route = if is_counted { route } else { OTHER_ROUTES };
        let latency = self.latency.entry(route).or_default();
        let limit_ms = latency.mean_ms * SLOW_FACTOR;
        let is_known = latency.answers >= MIN_LATENCY_SAMPLES;
        let is_bad = time_ms.is_none_or(|ms| is_known && ms > limit_ms);
        let counts = self.counts.entry(route).or_default();
        match is_target {
            true => counts.target.record(is_bad),
            false => {
                counts.others.record(is_bad);
                if let Some(ms) = time_ms {
                    latency.record(ms);
                }
            }
        }
    }

    /// Returns the counts of an order, by route; none if the counts belong to another order.
    pub fn counts(&self, order: u64) -> Vec<(u32, VersionCounts)> {
        if self.order != order {
            return Vec::new();
        }
        let mut counts: Vec<_> = self.counts.iter().map(|(r, c)| (*r, *c)).collect();
        counts.sort_by_key(|(route, _)| *route);
        counts
    }
}

impl RouteLatency {
    fn record(&mut self, ms: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(LATENCY_WEIGHT);
        self.mean_ms += weight * (ms - self.mean_ms);
    }
}
