use {
    crate::engine::PlainAnswer,
    serde::{Deserialize, Serialize},
};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ending {
    /// The model's answer is complete.
    Whole {
        /// Length of the answer in tokens.
        total: usize,
    },
    /// The plain service responded.
    Plain(PlainAnswer),
    /// The request failed.
    Failed(Failure),
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What the caller can assume about the run of the request.
    pub outcome: Outcome,
    /// The reason, for human readers.
    pub detail: String,
    /// The time after which to retry, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u64,
}

/// What the caller of a failed request can assume about its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The deadline passed; the request may have run.
    Expired,
    /// The request is malformed; it did not run.
    Malformed,
    /// The request ran to its end, but its answer is no longer stored.
    Completed,
}

impl Outcome {
    /// Returns the name used in responses to callers.
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
    /// Creates a failure.
    pub fn new(outcome: Outcome, detail: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            retry_after_ms,
        }
    }
}
