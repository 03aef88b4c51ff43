use displaydoc::Display;

/// How sending a request to a back end failed, by what is known of its run.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum SendFailure {
    /// not sent: {0}
    NotSent(String),
    /// refused by the back end, not run (status {0})
    Refused(u16),
    /// may have run: {0}
    MayHaveRun(String),
}

impl SendFailure {
    /// Returns whether the request certainly did not run there.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::MayHaveRun(_))
    }
}
