use {
    super::{Evidence, VersionCounts},
    std::collections::HashMap,
};

/// How rarely a good version may be called bad: once in so many looks at one route, as a
/// natural logarithm (1 in 100,000; a roll-out takes some hundred looks at each of up to
/// 33 routes).
const LOG_ALPHA: f64 = 11.5;
/// From which evidence on a version that gets most requests already is taken for bad: each
/// further look costs far more bad answers than before.
const LOG_STRONG_SUSPICION: f64 = 6.0;
/// From which evidence on a version gets no more than its first share until more is known:
/// without, one of which a fifth of the answers failed got 13.8% of 80 requests a second
/// until it was found (`decisions/rollouts`).
const LOG_SUSPICION: f64 = 3.0;
/// How many answers a version must have given to be called good.
const PROVED_ANSWERS: u64 = 100;
/// How many, to get more than its first small share.
const FIRST_ANSWERS: u64 = 60;

/// The assessment of a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Too little.
    Unknown,
    /// Something speaks against it, but not enough.
    Suspected,
    /// Much speaks against it, but not enough while it gets few requests.
    StronglySuspected,
    /// Nothing speaks against it, by a few answers.
    SoFarGood,
    /// Nothing speaks against it, by enough answers.
    Good,
    /// It is worse than the old ones.
    Bad,
}

/// Judges a new version by its answers, over all routes and for each of them: one may be
/// bad on one route only.
#[derive(Clone, Debug, Default)]
pub struct VersionEvaluator {
    all: Evidence,
    routes: HashMap<u32, Evidence>,
}

impl VersionEvaluator {
    /// Takes in the answers of a moment, by route.
    pub fn record(&mut self, batch: &[(u32, VersionCounts)]) {
        let mut sum = VersionCounts::default();
        for (route, counts) in batch {
            sum.add(*counts);
            self.routes.entry(*route).or_default().record(*counts);
        }
        self.all.record(sum);
    }

    /// Returns what is known.
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
            n if n >= PROVED_ANSWERS => Assessment::Good,
            n if n >= FIRST_ANSWERS => Assessment::SoFarGood,
            _ => Assessment::Unknown,
        }
    }

    /// Returns what speaks most against the version.
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
