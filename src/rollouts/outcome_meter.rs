use {super::VersionCounts, std::collections::HashMap};

/// How many times the usual time of a route an answer takes that counts as slow: bad
/// versions are several times slower, and prompts differ by less than that mostly.
const SLOW_FACTOR: f64 = 2.5;
/// How many answers tell a route's usual time.
const KNOWN_AFTER: u32 = 8;
/// How much one more answer moves a route's usual time.
const WEIGHT: f64 = 0.05;
/// How many routes are counted apart; the others are counted together.
const MAX_ROUTES: usize = 32;
/// The key of all routes that are not counted apart.
pub const OTHER_ROUTES: u32 = 0;

/// How a route's requests usually fare at the versions that are there.
#[derive(Clone, Copy, Debug, Default)]
struct UsualTime {
    mean_ms: f64,
    answers: u32,
}

/// Counts the answers that one daemon saw during a service's roll-out, by route and
/// version.
#[derive(Clone, Debug, Default)]
pub struct OutcomeMeter {
    /// The order that the counts are of.
    order: u64,
    counts: HashMap<u32, VersionCounts>,
    usual: HashMap<u32, UsualTime>,
}

impl OutcomeMeter {
    /// Begins anew with another order; usual times stay.
    pub fn for_order(&mut self, order: u64) -> &mut Self {
        if self.order != order {
            self.order = order;
            self.counts.clear();
        }
        self
    }

    /// Notes an answer; `time_ms` is the time to its head or first event, none if it
    /// failed.
    pub fn record(&mut self, route: u32, is_target: bool, time_ms: Option<f64>) {
        let is_counted = self.counts.contains_key(&route) || self.counts.len() < MAX_ROUTES;
        let route = if is_counted { route } else { OTHER_ROUTES };
        let usual = self.usual.entry(route).or_default();
        let limit_ms = usual.mean_ms * SLOW_FACTOR;
        let is_known = usual.answers >= KNOWN_AFTER;
        let is_bad = time_ms.is_none_or(|ms| is_known && ms > limit_ms);
        let counts = self.counts.entry(route).or_default();
        match is_target {
            true => counts.target.record(is_bad),
            false => {
                counts.others.record(is_bad);
                if let Some(ms) = time_ms {
                    usual.record(ms);
                }
            }
        }
    }

    /// Returns the counts since the order, by route.
    pub fn counts(&self, order: u64) -> Vec<(u32, VersionCounts)> {
        if self.order != order {
            return Vec::new();
        }
        let mut counts: Vec<_> = self.counts.iter().map(|(r, c)| (*r, *c)).collect();
        counts.sort_by_key(|(route, _)| *route);
        counts
    }
}

impl UsualTime {
    fn record(&mut self, ms: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(WEIGHT);
        self.mean_ms += weight * (ms - self.mean_ms);
    }
}
