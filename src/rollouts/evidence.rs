use super::{AnswerCounts, VersionCounts};

/// By how much more often than the old versions a new one may fail and still count as
/// like them: what can't be told from luck in some hundred answers.
const MARGIN: f64 = 0.03;
/// How many answers of the old versions are remembered, for a steady rate and for that of
/// the moment: the higher one counts, so that trouble that hits all versions at once is
/// taken out. With the steady rate alone, 1 in 100 good versions was rolled back where a
/// fifth of all answers failed for 4 s (`decisions/rollouts`).
const REMEMBERED: [f64; 2] = [400.0, 60.0];
/// What is reckoned with before any answer of the old versions: one bad in so many.
const PRIOR_ANSWERS: f64 = 20.0;
/// How many standard errors the old versions' rate may be higher than it was seen, over
/// each of the two.
const ERRORS: [f64; 2] = [2.0, 1.0];
/// How bad a bad version may be: the parts of the answers that the old versions give
/// well which it gives badly.
const ALTERNATIVES: [f64; 4] = [0.1, 0.25, 0.5, 0.85];
/// The most that the old versions' rate counts for.
const MAX_USUAL: f64 = 0.9;

/// The evidence that a new version's answers are worse than the old ones' of the same
/// moment: a sequential test that may be looked at at any time.
///
/// It multiplies likelihood ratios of a few alternatives against the worst rate that
/// would still be like the old versions', and starts anew whenever the ratio falls below
/// one, so that a version that turns bad late is found as fast as one that was bad from
/// the start (an e-detector: Shin, Ramdas and Rinaldo, 2023). While the new version is no
/// worse than that rate, the expected number of batches until the ratio of one
/// alternative passes `1 / alpha` is at least `1 / alpha`. It takes answers within a batch
/// as independent given the rates of their moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    log_ratios: [f64; ALTERNATIVES.len()],
    usual: [UsualAnswers; REMEMBERED.len()],
    /// Answers of the new version so far.
    pub answers: u64,
    /// The bad ones among them.
    pub bad: u64,
}

/// The last answers of the old versions.
#[derive(Clone, Copy, Debug, Default)]
struct UsualAnswers {
    answers: f64,
    bad: f64,
}

impl UsualAnswers {
    fn record(&mut self, counts: AnswerCounts, remembered: f64) {
        self.answers += f64::from(counts.answers);
        self.bad += f64::from(counts.bad);
        if self.answers > remembered {
            self.bad *= remembered / self.answers;
            self.answers = remembered;
        }
    }

    /// Returns the rate of bad ones that they may have at most.
    fn rate(&self, errors: f64) -> f64 {
        let answers = self.answers + PRIOR_ANSWERS;
        let rate = (self.bad + 1.0) / answers;
        rate + errors * (rate * (1.0 - rate) / answers).sqrt()
    }
}

impl Evidence {
    /// Takes in the answers of a moment.
    pub fn record(&mut self, batch: VersionCounts) {
        for (usual, remembered) in self.usual.iter_mut().zip(REMEMBERED) {
            usual.record(batch.others, remembered);
        }
        let (answers, bad) = (batch.target.answers, batch.target.bad);
        if answers == 0 {
            return;
        }
        self.answers += u64::from(answers);
        self.bad += u64::from(bad);
        let (bad, well) = (f64::from(bad), f64::from(answers - bad));
        let usual = self.baseline_rate();
        for (log_ratio, part) in self.log_ratios.iter_mut().zip(ALTERNATIVES) {
            let worse = usual + (1.0 - usual) * part;
            let step = bad * (worse / usual).ln() + well * ((1.0 - worse) / (1.0 - usual)).ln();
            *log_ratio = log_ratio.max(0.0) + step;
        }
    }

    /// Returns the highest rate of bad answers that still counts as like the old
    /// versions'.
    pub fn baseline_rate(&self) -> f64 {
        let rates = self.usual.iter().zip(ERRORS);
        let rates = rates.map(|(usual, errors)| usual.rate(errors));
        (rates.fold(0.0, f64::max) + MARGIN).min(MAX_USUAL)
    }

    /// Returns the logarithm of the likelihood ratio that speaks most against the new
    /// version.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratios.iter().copied().fold(0.0, f64::max)
    }
}
