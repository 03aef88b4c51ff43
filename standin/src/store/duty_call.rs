use serde_json::Value;

/// A call for a duty that was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    /// `usage` or `scale`.
    pub duty: String,
    /// Who made it.
    pub holder: String,
    /// With which fencing token.
    pub fence: u64,
    /// The body.
    pub body: Value,
}
