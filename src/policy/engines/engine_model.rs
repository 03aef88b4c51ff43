use {
    crate::policy::{FirstEvent, ReadingSpeed},
    std::collections::VecDeque,
};

/// How many of the last answers a new one is compared with.
const COMPARED: usize = 8;
/// How many comparisons are remembered: some seconds' worth under load, few
/// enough to follow engines that change.
const REMEMBERED: usize = 192;
/// Prompts are compared whose sizes differ by this factor at least: between
/// alike ones, chance decides.
const MIN_SIZE_RATIO: f64 = 2.0;
/// Each how many comparisons the estimate is worked out anew.
const RENEW_EVERY: usize = 8;
/// How many comparisons make an estimate.
const MIN_COMPARISONS: usize = 12;
/// How much one more answer moves the averages of times.
const AVERAGE_WEIGHT: f64 = 0.05;

/// How two answers differ: the time that a token more took.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    ms_per_token: f64,
    /// By how many tokens the prompts differ: the more, the less chance counts.
    tokens: f64,
}

/// What one daemon has learned of a service's engines from answers.
///
/// The time to read a token is the slope between answers of small and large
/// prompts that nothing waited before: what all answers have in common (ways,
/// steps of the engine) cancels out, and a weighted median leaves late ones
/// out. Nothing is learned from an engine that is known to be busy, so that
/// overload doesn't make engines look slower than they are.
#[derive(Clone, Debug, Default)]
pub struct EngineModel {
    last: VecDeque<FirstEvent>,
    comparisons: VecDeque<Comparison>,
    since_renewed: usize,
    speed: Option<ReadingSpeed>,
    first_event_ms: Option<f64>,
    stay_ms: Option<f64>,
}

impl EngineModel {
    /// Notes the first event of an answer that nothing waited before.
    pub fn record_first_event(&mut self, event: FirstEvent) {
        self.first_event_ms = Some(averaged(self.first_event_ms, event.after_ms));
        let compared = self.last.iter().filter_map(|other| compare(event, *other));
        let fresh: Vec<Comparison> = compared.collect();
        self.since_renewed += fresh.len();
        self.comparisons.extend(fresh);
        while self.comparisons.len() > REMEMBERED {
            self.comparisons.pop_front();
        }
        self.last.push_back(event);
        if self.last.len() > COMPARED {
            self.last.pop_front();
        }
        if self.since_renewed >= RENEW_EVERY {
            self.since_renewed = 0;
            self.speed = self.estimate();
        }
    }

    /// Notes how long a request stayed at an upstream, in milliseconds.
    pub fn record_stay(&mut self, stay_ms: f64) {
        self.stay_ms = Some(averaged(self.stay_ms, stay_ms));
    }

    /// Returns how fast engines read, once that is known.
    pub fn reading_speed(&self) -> Option<ReadingSpeed> {
        self.speed
    }

    /// Returns how long the first event takes on average where nothing waits,
    /// in milliseconds.
    pub fn first_event_ms(&self) -> Option<f64> {
        self.first_event_ms
    }

    /// Returns how long a request stays on average, in milliseconds.
    pub fn stay_ms(&self) -> Option<f64> {
        self.stay_ms
    }

    fn estimate(&self) -> Option<ReadingSpeed> {
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
        median.map(|c| ReadingSpeed {
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

fn averaged(average: Option<f64>, value: f64) -> f64 {
    average.map_or(value, |a| a + AVERAGE_WEIGHT * (value - a))
}
