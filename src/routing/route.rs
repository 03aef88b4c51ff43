use {
    crate::names::ServiceName,
    serde::{Deserialize, Serialize},
};

/// What may be repeated of a route's requests, and how its answers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are series of events; requests run at most once, unless the
    /// route's streams can be resumed.
    Streaming,
}

impl RouteKind {
    /// Returns the kind's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// A rule that sends requests of a host below a path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The prefix of their paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is wanted, in milliseconds.
    pub target_latency_ms: u64,
    /// The rank; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Where the requests go.
    pub services: Vec<WeightedService>,
    /// How many upstreams one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// Whether a broken stream may be taken up at another upstream.
    #[serde(default)]
    pub resumable: bool,
    /// The longest wanted pause between events, in milliseconds.
    #[serde(default)]
    pub event_gap_ms: Option<u64>,
}

impl Route {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight; `point` is a number drawn for the request.
    pub fn pick_service(&self, point: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = point.checked_rem(total)?;
        for target in &self.services {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
