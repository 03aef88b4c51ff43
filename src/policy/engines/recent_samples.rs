use crate::policy::SpeedEstimate;

/// The most spans with answers that are kept. Five spans at a new speed outweigh the rest.
const MAX_SPANS: usize = 9;
/// The most answers of an upstream that are kept, to bound the memory for a busy one.
const MAX_SAMPLES: usize = 48;
/// How long an answer counts, in milliseconds. After this time, an upstream that looked slow and got
/// no work counts as usual again, and gets some.
const SAMPLE_LIFETIME_MS: u64 = 60_000;
/// The length of a span, in milliseconds. The answers within one may have been delayed by the same
/// cause, so together they weigh as much as one.
const SPAN_MS: u64 = 400;
/// The fewest answers from which the scatter is computed.
const MIN_FOR_SCATTER: usize = 5;

#[derive(Clone, Copy, Debug)]
struct Sample {
    log_time: f64,
    weight: f64,
    at_ms: u64,
    /// When the span of the answer began.
    span_began_ms: u64,
}

/// The latest answers of one upstream, as logarithms of the time for a token.
///
/// Their weighted median is the estimate: it ignores delays that hit fewer than half of the
/// answers, and follows a lasting change after about five spans. Answers are grouped into spans of
/// [`SPAN_MS`], each of which weighs as much as one answer.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSamples {
    samples: Vec<Sample>,
    estimate: Option<SpeedEstimate>,
    scatter: Option<f64>,
}

impl RecentSamples {
    pub(super) fn record(&mut self, log_time: f64, weight: f64, now_ms: u64) {
        let last = self.samples.last().map(|s| s.span_began_ms);
        let began_ms = last.filter(|began_ms| now_ms < began_ms + SPAN_MS);
        self.samples.push(Sample {
            log_time,
            weight,
            at_ms: now_ms,
            span_began_ms: began_ms.unwrap_or(now_ms),
        });
        while self.samples.len() > MAX_SAMPLES || self.spans().count() > MAX_SPANS {
            self.samples.remove(0);
        }
        self.update();
    }

    pub(super) fn tick(&mut self, now_ms: u64) {
        let is_current = |s: &Sample| now_ms < s.at_ms + SAMPLE_LIFETIME_MS;
        if !self.samples.iter().all(is_current) {
            self.samples.retain(is_current);
            self.update();
        }
    }

    /// Returns the estimate, or `None` without answers. Its `log_factor` is the logarithm of the time
    /// for a token in milliseconds, not yet compared with the service.
    pub(super) fn estimate(&self) -> Option<SpeedEstimate> {
        self.estimate
    }

    /// Returns the median deviation of the answers from the estimate, or `None` for few answers.
    pub(super) fn scatter(&self) -> Option<f64> {
        self.scatter
    }

    /// Returns the answers of each span.
    fn spans(&self) -> impl Iterator<Item = &[Sample]> {
        self.samples
            .chunk_by(|a, b| a.span_began_ms == b.span_began_ms)
    }

    /// Returns the answers as pairs of value and weight, divided by the number of answers in the span.
    fn weighted(&self) -> impl Iterator<Item = (f64, f64)> {
        self.spans().flat_map(|span| {
            let count = span.len() as f64;
            span.iter().map(move |s| (s.log_time, s.weight / count))
        })
    }

    fn update(&mut self) {
        self.estimate = self.median_estimate();
        let centre = self.estimate.map_or(0.0, |e| e.log_factor);
        let deviations = self.weighted();
        let deviations = deviations.map(|(log_time, weight)| ((log_time - centre).abs(), weight));
        let deviations: Vec<_> = deviations.collect();
        self.scatter = match deviations.len() >= MIN_FOR_SCATTER {
            true => weighted_median(deviations),
            false => None,
        };
    }

    fn median_estimate(&self) -> Option<SpeedEstimate> {
        let at_ms = self.samples.last()?.at_ms;
        Some(SpeedEstimate {
            log_factor: weighted_median(self.weighted().collect())?,
            weight: self.weighted().map(|(_, weight)| weight).sum(),
            at_ms,
        })
    }
}

/// Returns the weighted median of pairs of value and weight, or `None` if there are none.
pub(super) fn weighted_median(mut pairs: Vec<(f64, f64)>) -> Option<f64> {
    pairs.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let half = pairs.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let median = pairs.iter().find(|(_, weight)| {
        below += weight;
        below >= half
    });
    median.or(pairs.last()).map(|(value, _)| *value)
}
