use {crate::streams::StreamFault, displaydoc::Display};

/// A failure to send a request to an upstream, by what is known about its execution.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum SendFailure {
    /// request not sent: {0}
    NotSent(String),
    /// request not sent: the upstream has no room for it
    NoSlot,
    /// request refused by the upstream and not run: status {0}
    Refused(u16),
    /// request not run: the address belongs to another upstream
    Misdirected,
    /// request may have run: {0}
    MayHaveRun(String),
    /// request may have run: invalid event stream: {0}
    InvalidStream(StreamFault),
    /// request may have run: the upstream is silent, and a retry was taken from the budget
    Stalled,
    /// request may have run: the connection ended before the response did: {0}
    CutOff(String),
}

impl SendFailure {
    /// Returns the name of the failure for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NoSlot => "no-slot",
            Self::Refused(_) => "refused",
            Self::Misdirected => "misdirected",
            Self::MayHaveRun(_) | Self::InvalidStream(_) | Self::Stalled => "may-have-run",
            Self::CutOff(_) => "cut-off",
        }
    }

    /// Returns true if the request certainly did not run at the upstream.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::NoSlot | Self::Refused(_) | Self::Misdirected => true,
            Self::MayHaveRun(_) | Self::InvalidStream(_) | Self::Stalled | Self::CutOff(_) => false,
        }
    }
}
