use bincode::{Decode, Encode};

/// A daemon's query to a hub of its failure domain: whether a request is admitted, and
/// to which upstream it goes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AdmissionQuery {
    /// The daemon's name.
    pub name: String,
    /// Which life of it.
    pub incarnation: u64,
    /// The number of the question: asked again, it is answered the same.
    pub id: u64,
    /// The client's id of the attempt, for logs.
    pub request: String,
    /// What it would take of a quota, if it is not let in yet.
    pub quota: Option<QuotaQuery>,
    /// What has to be known to place it.
    pub place: PlacementQuery,
}

/// The cost of a request, counted against a client account's quota.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct QuotaQuery {
    /// The account.
    pub account: String,
    /// Units.
    pub cost: f64,
    /// How long the request may be held for its turn, in milliseconds.
    pub max_wait_ms: u32,
}

/// What has to be known of a request to place it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PlacementQuery {
    /// The service.
    pub service: String,
    /// Within how long an answer is wanted, in milliseconds.
    pub target_ms: u64,
    /// The prompt's tokens; none, if the request names none.
    pub tokens_in: Option<u64>,
    /// The most tokens of the answer.
    pub tokens_out: u64,
    /// The prompt's parts: hashes of each with all before it, and tokens.
    pub parts: Vec<(u64, u64)>,
    /// Upstreams that were tried.
    pub tried: Vec<String>,
    /// Others that the daemon can't reach now.
    pub avoided: Vec<String>,
    /// By what it is placed in place of its prompt, if it is to run apart from others.
    pub isolation_key: Option<u64>,
}

/// A hub's answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Answer {
    /// The number of the question.
    pub id: u64,
    /// Which life of the daemon asked.
    pub incarnation: u64,
    /// What is to be done.
    pub decision: HubDecision,
}

/// A hub's decision on an admission query.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum HubDecision {
    /// It is let in and may run.
    Placed {
        /// The upstream.
        upstream: String,
        /// The prompt tokens that it is expected to read.
        unread_tokens: u64,
        /// The prompt tokens of other requests that it is known to read first.
        waiting_tokens: u64,
    },
    /// It is let in, but no upstream is ready.
    NoUpstream,
    /// It is beyond the quota, and may come back after some milliseconds.
    Refused {
        /// The time.
        wait_ms: u64,
    },
    /// It is held for its turn; the answer comes later.
    Held,
    /// The hub doesn't know the service or the client account: the daemon may
    /// have a newer configuration.
    Unknown,
}
