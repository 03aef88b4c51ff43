use http::HeaderName;

/// The names of the headers by which clients, daemons and upstreams tell each
/// other about a request. The product has its own; an adapter may bring others.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a client's attempt.
    pub attempt_id: HeaderName,
    /// The milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The client's key.
    pub api_key: HeaderName,
    /// The tenant that the key belongs to; set for upstreams.
    pub tenant: HeaderName,
    /// The prompt's parts in order, as `id:tokens` joined by commas.
    pub prompt_parts: HeaderName,
    /// The prompt's tokens and the most tokens of the answer.
    pub token_count: HeaderName,
    /// The last event that the receiver has.
    pub last_event_id: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// The life of an upstream that shall run the request.
    pub expected_upstream: HeaderName,
    /// The rank of the request at an upstream; 0 is first.
    pub priority: HeaderName,
    /// The upstream's signature of its answer.
    pub signature: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            attempt_id: name("saddlepulley-attempt"),
            deadline_ms: name("saddlepulley-deadline-ms"),
            api_key: name("saddlepulley-key"),
            tenant: name("saddlepulley-tenant"),
            prompt_parts: name("saddlepulley-prompt-parts"),
            token_count: name("saddlepulley-token-count"),
            last_event_id: name("last-event-id"),
            not_run: name("x-not-started"),
            expected_upstream: name("saddlepulley-expected-upstream"),
            priority: name("saddlepulley-priority"),
            signature: name("saddlepulley-signature"),
        }
    }
}
