use crate::names::UpstreamId;

/// An upstream starts or stops counting as faster or slower than its service.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The factor before; 1 if it counted as usual.
    pub before: f64,
    /// The factor from now on; 1 if it counts as usual.
    pub after: f64,
}
