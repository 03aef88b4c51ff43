use {
    super::{Placement, Prompt},
    crate::{
        clock::BootInstant,
        names::{ClientAccount, RequestFingerprint, ServiceName},
        routing::Route,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Uri},
    parking_lot::Mutex,
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
};

/// A request that was let in.
#[derive(Debug)]
pub struct RequestContext {
    /// The id of the client's attempt.
    pub attempt_id: Option<HeaderValue>,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Whose it is; none on public routes.
    pub account: Option<ClientAccount>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The headers that travel along.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What it is known by, once that was asked for.
    pub cached_fingerprint: OnceLock<RequestFingerprint>,
    /// Its prompt.
    pub prompt: Prompt,
    /// The last event that the client has.
    pub last_event_id: Option<u64>,
    /// Where it is to go first, if a hub has said so.
    pub placed: Mutex<Option<Placement>>,
    /// When it was sent to an upstream last.
    pub sent_at: Mutex<Option<BootInstant>>,
    /// When its head arrived.
    pub started: BootInstant,
    /// When it is given up: the client's deadline or the route's timeout.
    pub deadline: BootInstant,
}

impl RequestContext {
    /// Returns what the request is known by when it comes again.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.cached_fingerprint.get_or_init(|| {
            let method = self.method.as_str();
            let target = self.target.to_string();
            RequestFingerprint::of(self.account.as_ref(), method, &target, &self.body)
        })
    }

    /// Returns the time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.left()
    }

    /// Returns the attempt's id as text, for logs.
    pub fn id_text(&self) -> &str {
        let id = self.attempt_id.as_ref();
        id.and_then(|v| v.to_str().ok()).unwrap_or("-")
    }

    /// Returns the time within which an answer is wanted.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }
}
