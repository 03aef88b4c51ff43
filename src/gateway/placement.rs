use {crate::upstreams::Upstream, std::sync::Arc};

/// Where a request is sent.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The prompt tokens that it is expected to read.
    pub unread_tokens: u64,
    /// The prompt tokens of other requests that it is known to read first.
    pub waiting_tokens: u64,
    /// Whether it is a try after one that failed: what broke that one may have
    /// broken resting connections, too.
    pub is_retry: bool,
    /// Whether it has a permit, where the upstream names a limit.
    pub has_permit: bool,
}
