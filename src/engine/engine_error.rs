use crate::http::HttpError;

/// Says how a call to an upstream failed, and whether it can have run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum EngineError {
    /// it did not run: {0}
    NotRun(HttpError),
    /// it may have run: {0}
    MayHaveRun(HttpError),
    /// an older fencing token
    Fenced,
    /// the answer was cut off
    CutOff,
}

impl From<HttpError> for EngineError {
    fn from(e: HttpError) -> Self {
        if e.had_no_effect() {
            Self::NotRun(e)
        } else {
            Self::MayHaveRun(e)
        }
    }
}

impl EngineError {
    /// Returns whether the call certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Fenced)
    }

    /// Returns whether the connection was cut, as when the upstream is gone.
    pub fn is_cut_off(&self) -> bool {
        matches!(self, Self::CutOff | Self::MayHaveRun(HttpError::Broken(_)))
    }

    /// Returns whether the upstream could not be reached at all.
    pub fn is_not_connected(&self) -> bool {
        matches!(self, Self::NotRun(HttpError::NotConnected(_)))
    }
}
