use serde_json::Value;

/// An accepted call to the API for duties.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    /// `usage` or `scale`.
    pub duty: String,
    /// Lease holder that made the call.
    pub holder: String,
    /// Fencing token of the holder's lease.
    pub fence: u64,
    /// Body of the call.
    pub body: Value,
}
