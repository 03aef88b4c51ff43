use std::time::Duration;

/// Why a request is not admitted. The request has not run, and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The quota of the client account does not allow the request now.
    Quota {
        /// The time after which the request may be repeated.
        retry_after: Duration,
    },
    /// No upstream of the service has room for the request in time.
    NoRoom {
        /// The time after which room for the request is expected.
        retry_after: Duration,
    },
}
