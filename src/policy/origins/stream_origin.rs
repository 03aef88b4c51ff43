use {
    super::AttemptKey,
    crate::names::{ServiceName, UpstreamVersion},
};

/// The service and the software version of the upstream that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// The service of the upstream.
    pub service: ServiceName,
    /// The version of the upstream when it got the request.
    pub version: UpstreamVersion,
}

/// A stream's origin as a daemon announces it to others, or writes it to the shared log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedOrigin {
    /// The attempt that brought the first event.
    pub key: AttemptKey,
    /// What began the stream.
    pub origin: StreamOrigin,
    /// How long the client may still take the stream up, in milliseconds.
    pub left_ms: u64,
}
