use {
    super::{Evidence, VersionCounts},
    std::collections::HashMap,
};

/// Natural logarithm of the likelihood ratio from which a version counts as bad. It bounds
/// the rate at which a good version is called bad to 1 in 100,000 assessments of one route;
/// a rollout takes a few hundred assessments of each of up to 33 routes.
const LOG_ALPHA: f64 = 11.5;
/// Log likelihood ratio from which a version that already gets most requests counts as
/// bad: each further assessment costs far more bad answers than at a small share.
const LOG_STRONG_SUSPICION: f64 = 6.0;
/// Log likelihood ratio from which a version's share stays within the bound for unproven
/// versions until more is known. Without this limit, a version that failed a fifth of its
/// answers got 13.8% of 80 requests a second before it was found to be bad.
const LOG_SUSPICION: f64 = 3.0;
/// Minimum number of answers before a version counts as good.
const MIN_ANSWERS_GOOD: u64 = 100;
/// Minimum number of answers before a version gets more than its first small share.
const MIN_ANSWERS_SO_FAR_GOOD: u64 = 60;

/// The assessment of a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// There are too few answers to assess the version.
    Unknown,
    /// There is some evidence against the version, but not enough to call it bad.
    Suspected,
    /// There is strong evidence against the version, which is enough to call it bad only if
    /// it gets most requests.
    StronglySuspected,
    /// There is no evidence against the version after a few answers.
    SoFarGood,
    /// There is no evidence against the version after enough answers.
    Good,
    /// The version is worse than the old ones.
    Bad,
}

/// Assesses a new version by its answers, over all routes and for each route: a version may
/// be bad on a single route.
#[derive(Clone, Debug, Default)]
pub struct VersionEvaluator {
    all: Evidence,
    routes: HashMap<u32, Evidence>,
}

impl VersionEvaluator {
    /// Records a batch of answers of the same moment, by route.
    pub fn record(&mut self, batch: &[(u32, VersionCounts)]) {
        let mut sum = VersionCounts::default();
        for (route, counts) in batch {
            sum.add(*counts);
            self.routes.entry(*route).or_default().record(*counts);
        }
        self.all.record(sum);
    }

    /// Returns the assessment by the answers so far.
    pub fn assessment(&self) -> Assessment {
        if self.worst().log_ratio() >= LOG_ALPHA {
            return Assessment::Bad;
        }
        if self.worst().log_ratio() >= LOG_STRONG_SUSPICION {
            return Assessment::StronglySuspected;
        }
        if self.worst().log_ratio() >= LOG_SUSPICION {
            return Assessment::Suspected;
        }
        match self.all.answers {
            n if n >= MIN_ANSWERS_GOOD => Assessment::Good,
            n if n >= MIN_ANSWERS_SO_FAR_GOOD => Assessment::SoFarGood,
            _ => Assessment::Unknown,
        }
    }

    /// Returns the strongest evidence against the version: that of its worst route or that
    /// over all routes.
    pub fn worst(&self) -> &Evidence {
        let routes = self.routes.values();
        let worst = routes.max_by(|a, b| a.log_ratio().total_cmp(&b.log_ratio()));
        worst
            .filter(|e| e.log_ratio() > self.all.log_ratio())
            .unwrap_or(&self.all)
    }

    /// Returns the evidence over all routes.
    pub fn all(&self) -> &Evidence {
        &self.all
    }
}
