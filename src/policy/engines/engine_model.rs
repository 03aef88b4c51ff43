use {
    crate::policy::{FirstEvent, PrefillSpeed},
    std::collections::VecDeque,
};

/// How many of the latest answers a new answer is compared with.
const COMPARED_ANSWERS: usize = 8;
/// How many comparisons are kept: a few seconds' worth under load, and few enough to follow
/// engines whose speed changes.
const MAX_COMPARISONS: usize = 192;
/// Two answers are compared only if their prompt sizes differ by at least this factor:
/// between prompts of similar size, noise decides the result.
const MIN_SIZE_RATIO: f64 = 2.0;
/// Number of new comparisons after which the estimate is recalculated.
const ESTIMATE_INTERVAL: usize = 8;
/// The fewest comparisons from which an estimate is made.
const MIN_COMPARISONS: usize = 12;
/// Weight of a new answer in the moving averages of times.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The difference between two answers, as the additional time for each additional prompt
/// token.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    ms_per_token: f64,
    /// Difference of the prompt sizes in tokens. It weights the comparison: the larger it is,
    /// the smaller the influence of noise.
    tokens: f64,
}

/// What one daemon has learned from answers about a service's engines.
///
/// The time to read a token is the slope between answers to small and large prompts that did
/// not wait behind other requests. What all answers have in common (network latency, engine
/// step time) cancels out, and a weighted median discards outliers that came late. Nothing is
/// learned from an engine that is known to be busy, so that overload doesn't make engines
/// look slower than they are.
#[derive(Clone, Debug, Default)]
pub struct EngineModel {
    recent: VecDeque<FirstEvent>,
    comparisons: VecDeque<Comparison>,
    since_estimate: usize,
    speed: Option<PrefillSpeed>,
    first_event_ms: Option<f64>,
    stay_ms: Option<f64>,
}

impl EngineModel {
    /// Records the first event of an answer whose request did not wait behind others.
    pub fn record_first_event(&mut self, event: FirstEvent) {
        self.first_event_ms = Some(moving_average(self.first_event_ms, event.after_ms));
        let compared = self
            .recent
            .iter()
            .filter_map(|other| compare(event, *other));
        let new_comparisons: Vec<Comparison> = compared.collect();
        self.since_estimate += new_comparisons.len();
        self.comparisons.extend(new_comparisons);
        while self.comparisons.len() > MAX_COMPARISONS {
            self.comparisons.pop_front();
        }
        self.recent.push_back(event);
        if self.recent.len() > COMPARED_ANSWERS {
            self.recent.pop_front();
        }
        if self.since_estimate >= ESTIMATE_INTERVAL {
            self.since_estimate = 0;
            self.speed = self.estimate();
        }
    }

    /// Records how long a request stayed at an upstream, in milliseconds.
    pub fn record_stay(&mut self, stay_ms: f64) {
        self.stay_ms = Some(moving_average(self.stay_ms, stay_ms));
    }

    /// Returns how fast the engines prefill prompts, or `None` while there are too few
    /// comparisons.
    pub fn prefill_speed(&self) -> Option<PrefillSpeed> {
        self.speed
    }

    /// Returns the average time to the first event of a request that did not wait, in
    /// milliseconds.
    pub fn first_event_ms(&self) -> Option<f64> {
        self.first_event_ms
    }

    /// Returns the average time that a request stays at an upstream, in milliseconds.
    pub fn stay_ms(&self) -> Option<f64> {
        self.stay_ms
    }

    fn estimate(&self) -> Option<PrefillSpeed> {
        if self.comparisons.len() < MIN_COMPARISONS {
            return self.speed;
        }
        let mut sorted: Vec<Comparison> = self.comparisons.iter().copied().collect();
        sorted.sort_by(|a, b| a.ms_per_token.total_cmp(&b.ms_per_token));
        let half: f64 = sorted.iter().map(|c| c.tokens).sum::<f64>() / 2.0;
        let mut below = 0.0;
        let median = sorted.iter().find(|c| {
            below += c.tokens;
            below >= half
        });
        let median = median.filter(|c| c.ms_per_token > 0.0);
        median.map(|c| PrefillSpeed {
            ms_per_token: c.ms_per_token,
            comparisons: sorted.len() as u32,
        })
    }
}

fn compare(one: FirstEvent, other: FirstEvent) -> Option<Comparison> {
    let (large, small) = match one.unread_tokens >= other.unread_tokens {
        true => (one, other),
        false => (other, one),
    };
    let (more, less) = (large.unread_tokens as f64, small.unread_tokens as f64);
    (more > less * MIN_SIZE_RATIO).then(|| Comparison {
        ms_per_token: (large.after_ms - small.after_ms) / (more - less),
        tokens: more - less,
    })
}

fn moving_average(average: Option<f64>, value: f64) -> f64 {
    average.map_or(value, |a| a + AVERAGE_WEIGHT * (value - a))
}
