use crate::names::UpstreamId;

/// The estimated speed of an upstream, as daemons announce it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownSpeed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long the upstream takes for a token, as a multiple of its service's usual time.
    pub factor: f64,
    /// The weight of the answers behind the factor.
    pub weight: f64,
    /// The age of the newest of these answers, in milliseconds.
    pub age_ms: u64,
    /// The median deviation of an upstream's answers from its estimate in the service, as a natural
    /// logarithm; `None` while it is unknown.
    pub scatter: Option<f64>,
}
