use bincode::{Decode, Encode};

/// A daemon's query to a hub of its failure domain to admit a request and choose an upstream for
/// it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AdmissionQuery {
    /// The daemon's name.
    pub name: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// The id of the query, which increases within an incarnation. A repeated query gets the same
    /// answer.
    pub id: u64,
    /// The request's id, for logs.
    pub request: String,
    /// What the request takes from a quota; none if it is admitted already.
    pub quota: Option<QuotaQuery>,
    /// What the hub needs to place the request.
    pub placement: PlacementQuery,
}

/// The cost of a request, counted against a client account's quota.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct QuotaQuery {
    /// The client account.
    pub account: String,
    /// The cost in quota units.
    pub cost: f64,
    /// The longest time for which the hub may hold the request until the quota allows it, in
    /// milliseconds.
    pub max_wait_ms: u32,
}

/// What a hub needs to know of a request to place it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PlacementQuery {
    /// The requested service.
    pub service: String,
    /// The target latency of the answer, in milliseconds.
    pub target_ms: u64,
    /// The number of prompt tokens; none if the request does not state it.
    pub tokens_in: Option<u64>,
    /// The most tokens that the answer may have.
    pub tokens_out: u64,
    /// The prompt's parts: for each, the hash of the prompt up to its end, and its tokens.
    pub parts: Vec<(u64, u64)>,
    /// Upstreams that were tried for this request, which are not chosen again.
    pub tried: Vec<String>,
    /// Other upstreams that the daemon can't reach now.
    pub avoided: Vec<String>,
    /// The key by which the request is placed instead of its prompt, if it is suspected to crash
    /// upstreams and must run apart from others.
    pub isolation_key: Option<u64>,
}

/// A hub's answer to an admission query.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Answer {
    /// The id of the query.
    pub id: u64,
    /// The incarnation of the daemon that sent the query.
    pub incarnation: u64,
    /// The hub's decision.
    pub decision: HubDecision,
}

/// A hub's decision on an admission query.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum HubDecision {
    /// The request is admitted and placed.
    Placed {
        /// The chosen upstream's id.
        upstream: String,
        /// The prompt tokens that the upstream is expected to process for this request, without
        /// those that it has cached.
        unread_tokens: u64,
        /// The prompt tokens of other requests that the upstream is known to process first.
        waiting_tokens: u64,
    },
    /// The request is admitted, but no upstream is ready.
    NoUpstream,
    /// The request exceeds the quota and may be repeated after some time.
    Refused {
        /// The time after which to repeat it, in milliseconds.
        wait_ms: u64,
    },
    /// The hub holds the request until the quota or a permit allows it, and answers later.
    Held,
    /// The hub does not know the service or the client account: the daemon may have a newer
    /// configuration.
    Unknown,
    /// No upstream has room for the request in time. Sent only to daemons that state the
    /// [`RequestUrgency`](crate::cluster::RequestUrgency) of their requests.
    NoRoom {
        /// The time after which room for this request is expected, in milliseconds.
        wait_ms: u64,
    },
}
