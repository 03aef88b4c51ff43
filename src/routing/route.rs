use {
    crate::names::ServiceName,
    serde::{Deserialize, Serialize},
};

/// The kind of a route: how often its requests may run, and the form of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may run more than once, so that they can be retried.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are streams of events; requests run at most once, unless the route's streams
    /// can be resumed.
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

/// A service with its weight among the services of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The relative share of the route's requests that the service gets.
    pub weight: u32,
}

/// A rule that routes the requests for a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that the requests name.
    pub host: String,
    /// The prefix of the request paths; begins and ends with a slash.
    pub path_prefix: String,
    /// The kind of the route.
    pub kind: RouteKind,
    /// The maximum time for which a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// The target latency of an answer, in milliseconds.
    pub target_latency_ms: u64,
    /// The priority of the requests; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The services that get the requests, by weight.
    pub services: Vec<WeightedService>,
    /// The maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// True if requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// True if a broken stream may be resumed at another upstream.
    #[serde(default)]
    pub resumable: bool,
    /// The target for the longest gap between events, in milliseconds.
    #[serde(default)]
    pub event_gap_ms: Option<u64>,
}

impl Route {
    /// Returns true if a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight; `point` is a random number drawn for the request.
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
