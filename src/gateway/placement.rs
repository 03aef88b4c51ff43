use {crate::upstreams::Upstream, std::sync::Arc};

/// The upstream chosen for an attempt of a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The chosen upstream.
    pub upstream: Arc<Upstream>,
    /// Prompt tokens that the upstream is expected to prefill for the request.
    pub unread_tokens: u64,
    /// Prompt tokens of other requests that are known to be prefilled first.
    pub waiting_tokens: u64,
    /// The attempt follows a failed one. It uses a new connection, since the fault may have
    /// broken pooled connections as well.
    pub is_retry: bool,
    /// A permit has been granted, or none is needed because the upstream names no limit.
    pub has_permit: bool,
}
