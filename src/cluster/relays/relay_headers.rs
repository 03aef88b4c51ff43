use http::HeaderName;

/// Names the upstream that a relayed request is for.
pub(in crate::cluster) const RELAY_TO: HeaderName =
    HeaderName::from_static("saddlepulley-relay-to");
/// How long the relay's connection to the upstream may have been idle, in milliseconds.
pub(super) const RELAY_MAX_IDLE: HeaderName =
    HeaderName::from_static("saddlepulley-relay-max-idle-ms");
/// Set by a relay that has no answer of the upstream: how sending failed. The body has the cause.
pub(super) const RELAY_FAILURE: HeaderName = HeaderName::from_static("saddlepulley-relay-failure");
/// Set by a relay if the body of the upstream's answer ends with the upstream's connection.
pub(super) const RELAY_UNFRAMED: HeaderName =
    HeaderName::from_static("saddlepulley-relay-unframed");
/// Values of [`RELAY_FAILURE`]: the request was not sent, the connection ended before the response
/// did, or it may have run for another reason.
pub(super) const NOT_SENT: &str = "not-sent";
pub(super) const CUT_OFF: &str = "cut-off";
pub(super) const MAY_HAVE_RUN: &str = "may-have-run";
