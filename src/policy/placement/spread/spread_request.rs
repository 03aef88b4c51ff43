use crate::names::{FailureDomain, ServiceName};

/// The cost of sending a token of a prompt to another failure domain, as a part of the time for reading
/// it. The transfer is fast, but its bytes are paid for.
const WAY_SHARE: f64 = 0.1;

/// A request for which a failure domain is to be chosen, with the figures that the choice needs.
#[derive(Clone, Debug)]
pub struct SpreadRequest {
    /// The service that runs the request.
    pub service: ServiceName,
    /// The failure domain of the request's caller.
    pub domain: FailureDomain,
    /// Target latency, in milliseconds.
    pub target_ms: f64,
    /// The least time to the first event in the own domain, in milliseconds; infinity if no upstream
    /// there is usable.
    pub own_ms: f64,
    /// The work of the request at an upstream of usual speed, in milliseconds.
    pub work_ms: f64,
    /// The time for reading the whole prompt, in milliseconds.
    pub prompt_ms: f64,
}

impl SpreadRequest {
    /// Returns the cost of sending the prompt to another domain, in milliseconds.
    pub fn way_ms(&self) -> f64 {
        self.prompt_ms * WAY_SHARE
    }
}
