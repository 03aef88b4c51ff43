use super::{AnswerCounts, VersionCounts};

/// Difference in the rate of bad answers up to which a new version counts as no worse than
/// the old ones: a smaller one can't be distinguished from chance within some hundred answers.
const MARGIN: f64 = 0.03;
/// Numbers of answers of the old versions over which their rate of bad answers is averaged:
/// a long window for the steady rate and a short one for the current rate. The higher rate
/// counts, so that a problem that affects all versions at once does not count against the new one.
/// With the steady rate alone, 1 in 100 good versions was rolled back where a fifth of all
/// answers failed for 4 s.
const BASELINE_WINDOWS: [f64; 2] = [400.0, 60.0];
/// Size of the prior for the old versions: one bad answer in this many.
const PRIOR_ANSWERS: f64 = 20.0;
/// Number of standard errors that are added to the old versions' observed rate, for each of
/// the two windows.
const BASELINE_STANDARD_ERRORS: [f64; 2] = [2.0, 1.0];
/// Alternative hypotheses about a bad version: the fraction of the answers that would be
/// good at the old versions and are bad at the new one.
const ALTERNATIVES: [f64; 4] = [0.1, 0.25, 0.5, 0.85];
/// Upper bound of the old versions' rate of bad answers in the test.
const MAX_BASELINE_RATE: f64 = 0.9;

/// The evidence that a new version's answers are worse than those of the old versions at
/// the same time: a sequential test whose result may be read at any time.
///
/// The test multiplies the likelihood ratios of a few alternatives against the worst rate
/// that still counts as no worse than the old versions', and restarts whenever a ratio
/// falls below one, so that a version that turns bad late is found as fast as one that was
/// bad from the start (an e-detector: Shin, Ramdas and Rinaldo, 2023). While the new version
/// is no worse than that rate, the expected number of batches until the ratio of one
/// alternative exceeds `1 / alpha` is at least `1 / alpha`. The test assumes that the
/// answers within a batch are independent, given the rates at that time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    log_ratios: [f64; ALTERNATIVES.len()],
    baseline: [Baseline; BASELINE_WINDOWS.len()],
    /// Number of answers of the new version so far.
    pub answers: u64,
    /// Number of bad answers of the new version so far.
    pub bad: u64,
}

/// The most recent answers of the old versions, limited to a window of answers.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    answers: f64,
    bad: f64,
}

impl Baseline {
    fn record(&mut self, counts: AnswerCounts, window: f64) {
        self.answers += f64::from(counts.answers);
        self.bad += f64::from(counts.bad);
        if self.answers > window {
            self.bad *= window / self.answers;
            self.answers = window;
        }
    }

    /// Returns an upper estimate of the rate of bad answers.
    fn rate(&self, standard_errors: f64) -> f64 {
        let answers = self.answers + PRIOR_ANSWERS;
        let rate = (self.bad + 1.0) / answers;
        rate + standard_errors * (rate * (1.0 - rate) / answers).sqrt()
    }
}

impl Evidence {
    /// Records a batch of answers of the same moment.
    pub fn record(&mut self, batch: VersionCounts) {
        for (baseline, window) in self.baseline.iter_mut().zip(BASELINE_WINDOWS) {
            baseline.record(batch.others, window);
        }
        let (answers, bad) = (batch.target.answers, batch.target.bad);
        if answers == 0 {
            return;
        }
        self.answers += u64::from(answers);
        self.bad += u64::from(bad);
        let (bad, good) = (f64::from(bad), f64::from(answers - bad));
        let baseline = self.baseline_rate();
        for (log_ratio, fraction) in self.log_ratios.iter_mut().zip(ALTERNATIVES) {
            let worse = baseline + (1.0 - baseline) * fraction;
            let step =
                bad * (worse / baseline).ln() + good * ((1.0 - worse) / (1.0 - baseline)).ln();
            *log_ratio = log_ratio.max(0.0) + step;
        }
    }

    /// Returns the highest rate of bad answers that still counts as no worse than the old
    /// versions'.
    pub fn baseline_rate(&self) -> f64 {
        let rates = self.baseline.iter().zip(BASELINE_STANDARD_ERRORS);
        let rates = rates.map(|(baseline, standard_errors)| baseline.rate(standard_errors));
        (rates.fold(0.0, f64::max) + MARGIN).min(MAX_BASELINE_RATE)
    }

    /// Returns the log likelihood ratio of the alternative with the strongest evidence
    /// against the new version.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratios.iter().copied().fold(0.0, f64::max)
    }
}
