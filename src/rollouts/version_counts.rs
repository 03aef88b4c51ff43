use bincode::{Decode, Encode};

/// Counts of the answers of a set of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AnswerCounts {
    /// Number of answers, including failures.
    pub answers: u32,
    /// Number of answers that failed, broke off, or were much slower than usual.
    pub bad: u32,
}

impl AnswerCounts {
    /// Adds an answer.
    pub fn record(&mut self, is_bad: bool) {
        self.answers += 1;
        self.bad += u32::from(is_bad);
    }

    /// Returns the counts since an earlier count.
    pub fn since(self, before: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(before.answers),
            bad: self.bad.saturating_sub(before.bad),
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// The answers to one route's requests during a rollout, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionCounts {
    /// Answers of the new version.
    pub target: AnswerCounts,
    /// Answers of all other versions.
    pub others: AnswerCounts,
}

impl VersionCounts {
    /// Returns the counts since an earlier count.
    pub fn since(self, before: Self) -> Self {
        Self {
            target: self.target.since(before.target),
            others: self.others.since(before.others),
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.target.add(other.target);
        self.others.add(other.others);
    }
}
