use crate::http::HttpError;

/// The failure of a call to an upstream, which also says if the upstream may have run it.
///
/// The texts reach clients in the details of a failed request.
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
    /// Returns whether the upstream certainly did not run the call.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Fenced)
    }

    /// Returns whether the connection broke during the call, as it does when the upstream stops.
    pub fn is_cut_off(&self) -> bool {
        matches!(self, Self::CutOff | Self::MayHaveRun(HttpError::Broken(_)))
    }

    /// Returns whether the upstream could not be reached at all.
    pub fn is_not_connected(&self) -> bool {
        matches!(self, Self::NotRun(HttpError::NotConnected(_)))
    }
}
