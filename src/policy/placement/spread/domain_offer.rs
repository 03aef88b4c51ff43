use crate::names::FailureDomain;

/// Another failure domain that a request may be sent to.
#[derive(Clone, Debug)]
pub struct DomainOffer {
    /// The domain.
    pub domain: FailureDomain,
    /// The least time to the first event of the request at an upstream there, in milliseconds, as this
    /// hub estimates it; infinity if none is usable.
    pub best_ms: f64,
    /// The number of hubs that may send to the domain.
    pub senders: usize,
}
