use http::HeaderName;

/// The names of the headers by which clients, daemons and upstreams exchange information about
/// a request. The product has defaults; an adapter may supply other names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a client's attempt.
    pub attempt_id: HeaderName,
    /// How long the sender will wait for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The client's API key.
    pub api_key: HeaderName,
    /// The client account that the API key belongs to; set for upstreams.
    pub account: HeaderName,
    /// The prompt's parts in order, as a comma-separated list of `id:tokens`.
    pub prompt_parts: HeaderName,
    /// The number of prompt tokens and the maximum number of output tokens, separated by a comma.
    pub token_count: HeaderName,
    /// The id of the last event that the sender of the header already has.
    pub last_event_id: HeaderName,
    /// The attempt whose answer brought the first event of a stream that the client resumes.
    pub resumed_attempt: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// The id of the upstream incarnation that is meant to run the request.
    pub expected_upstream: HeaderName,
    /// The priority of the request at an upstream; 0 is the most urgent.
    pub priority: HeaderName,
    /// The upstream's signature of its response.
    pub signature: HeaderName,
    /// The model weights that the upstream must have loaded to run the request.
    pub expected_weights: HeaderName,
    /// How long an upstream keeps a request's KV cache after its run.
    pub keep_memory: HeaderName,
    /// The reservation of capacity at an upstream that the request uses.
    pub reservation: HeaderName,
    /// Another upstream to which the KV cache of a run is copied as it grows.
    pub backup_to: HeaderName,
    /// The copy of a run's KV cache from which the request continues.
    pub continue_from: HeaderName,
    /// Another upstream from which the KV cache of the prompt is fetched.
    pub fetch_from: HeaderName,
    /// The upstream's rate limit, in requests per second from all daemons together. An upstream
    /// sends it in its responses for as long as the limit holds.
    pub upstream_limit: HeaderName,
    /// How many requests an upstream may have to reject within a second for want of room; with more, it
    /// crashes. An upstream sends it in its responses for as long as that holds.
    pub max_rejections: HeaderName,
    /// Set by a leaving upstream in each of its responses.
    pub leaving: HeaderName,
}

impl HeaderNames {
    /// Returns the headers that only the system sets. They are removed from client requests
    /// and never reach an upstream.
    pub fn set_by_system(&self) -> [&HeaderName; 11] {
        [
            &self.api_key,
            &self.account,
            &self.deadline_ms,
            &self.expected_upstream,
            &self.priority,
            &self.expected_weights,
            &self.keep_memory,
            &self.reservation,
            &self.backup_to,
            &self.continue_from,
            &self.fetch_from,
        ]
    }
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            attempt_id: name("saddlepulley-attempt"),
            deadline_ms: name("saddlepulley-deadline-ms"),
            api_key: name("saddlepulley-key"),
            account: name("saddlepulley-tenant"),
            prompt_parts: name("saddlepulley-prompt-parts"),
            token_count: name("saddlepulley-token-count"),
            last_event_id: name("last-event-id"),
            resumed_attempt: name("saddlepulley-resumes"),
            not_run: name("x-not-started"),
            expected_upstream: name("saddlepulley-expected-upstream"),
            priority: name("saddlepulley-priority"),
            signature: name("saddlepulley-signature"),
            expected_weights: name("saddlepulley-expected-weights"),
            keep_memory: name("saddlepulley-keep-memory"),
            reservation: name("saddlepulley-reservation"),
            backup_to: name("saddlepulley-backup-to"),
            continue_from: name("saddlepulley-continue-from"),
            fetch_from: name("saddlepulley-fetch-from"),
            upstream_limit: name("saddlepulley-limit"),
            max_rejections: name("saddlepulley-max-rejections"),
            leaving: name("saddlepulley-leaving"),
        }
    }
}
