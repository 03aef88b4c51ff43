use {
    crate::engine::PlainAnswer,
    serde::{Deserialize, Serialize},
};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ending {
    /// The model's answer is whole, with this many tokens.
    Whole {
        /// Length of the answer in tokens.
        total: usize,
    },
    /// The plain service answered.
    Plain(PlainAnswer),
    /// It was given up on.
    Failed(Failure),
}

/// Why a request was given up on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What the caller can rely on.
    pub outcome: Outcome,
    /// The reason, for people.
    pub detail: String,
    /// When to come back, in milliseconds; 0 if that doesn't help.
    pub retry_after_ms: u64,
}

/// What the caller of a failed request can rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Its deadline passed; it may have run.
    Expired,
    /// It can't be understood; it did not run.
    Malformed,
    /// It ran to its end, and the answer is no longer held.
    Completed,
}

impl Outcome {
    /// Returns the name in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Expired => "expired",
            Self::Malformed => "malformed",
            Self::Completed => "completed",
        }
    }
}

impl Failure {
    /// Makes a failure.
    pub fn new(outcome: Outcome, detail: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            retry_after_ms,
        }
    }
}
