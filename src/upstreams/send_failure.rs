use displaydoc::Display;

/// How sending a request to an upstream failed, by what is known of its run.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum SendFailure {
    /// not sent: {0}
    NotSent(String),
    /// refused by the upstream, not run (status {0})
    Refused(u16),
    /// another upstream has the address, not run
    Misdirected,
    /// may have run: {0}
    MayHaveRun(String),
    /// may have run, the connection ended under it: {0}
    CutOff(String),
}

impl SendFailure {
    /// Returns what is known of the run, as a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::Refused(_) => "refused",
            Self::Misdirected => "misdirected",
            Self::MayHaveRun(_) => "may-have-run",
            Self::CutOff(_) => "cut-off",
        }
    }

    /// Returns whether the request certainly did not run there.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::MayHaveRun(_) | Self::CutOff(_))
    }
}
