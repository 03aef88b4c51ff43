use {
    super::{BufferedBytes, ConnectionCloser, HeaderNames, Placement, Prompt, shared_part_ids},
    crate::{
        clock::BootInstant,
        cluster::RequestUrgency,
        names::{ClientAccount, PartFingerprint, RequestFingerprint, ServiceName, UpstreamVersion},
        policy::{AccountHash, AttemptKey, name_hash},
        routing::{Route, RouteKind},
        upstreams::Upstream,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Uri},
    parking_lot::Mutex,
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
};

/// An admitted request.
#[derive(Debug)]
pub struct RequestContext {
    /// The id of the client's attempt, if the client sent one.
    pub attempt_id: Option<HeaderValue>,
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The service that the route picked for the request.
    pub service: ServiceName,
    /// The client account of the request's key; `None` if no account is required and none matched.
    pub account: Option<ClientAccount>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The headers that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The bytes of the body as counted in the budget of buffers; none without one.
    pub buffered_body: Option<BufferedBytes>,
    /// Requests that the client's connection is closed, if the client leaves its answer unread.
    pub connection_closer: ConnectionCloser,
    /// The fingerprint, once `fingerprint` has computed it.
    pub cached_fingerprint: OnceLock<RequestFingerprint>,
    /// The fingerprints of the prompt's shared parts, once `shared_parts` has computed them.
    pub cached_parts: OnceLock<Vec<PartFingerprint>>,
    /// When the first bytes of the answer arrived that the request was last sent for.
    pub answering_since: Mutex<Option<BootInstant>>,
    /// For how long the request had been answered when that was last recorded for its prompt's parts.
    pub recorded_survival: Mutex<Duration>,
    /// Prompt and response sizes from the request headers.
    pub prompt: Prompt,
    /// Id of the last event that the client already has.
    pub last_event_id: Option<u64>,
    /// The attempt whose answer brought the first event of a stream that the client resumes.
    pub resumed_attempt: Option<HeaderValue>,
    /// The software version of the upstream that began the client's stream, once that is known. Only
    /// upstreams of this version may continue it: what two versions write does not fit together.
    pub stream_version: OnceLock<UpstreamVersion>,
    /// The placement of the first attempt, if a hub decided on it with the admission.
    pub first_placement: Mutex<Option<Placement>>,
    /// When the request was last sent to an upstream.
    pub sent_at: Mutex<Option<BootInstant>>,
    /// When the request head arrived.
    pub started: BootInstant,
    /// When the request is given up: the client's deadline or the route's timeout, whichever is
    /// earlier.
    pub deadline: BootInstant,
}

impl RequestContext {
    /// Returns the fingerprint, which is the same when the client retries the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.cached_fingerprint.get_or_init(|| {
            let method = self.method.as_str();
            let target = self.target.to_string();
            RequestFingerprint::of(self.account.as_ref(), method, &target, &self.body)
        })
    }

    /// Returns the fingerprints of the parts of the prompt that other prompts may hold as well.
    pub fn shared_parts(&self, names: &HeaderNames) -> &[PartFingerprint] {
        self.cached_parts.get_or_init(|| {
            let ids = shared_part_ids(&self.headers, names);
            ids.map(PartFingerprint::of).collect()
        })
    }

    /// Returns the hash of the client account, for announcements of crashes.
    pub fn account_hash(&self) -> AccountHash {
        let name = self.account.as_ref().map_or("", ClientAccount::as_str);
        AccountHash(name_hash(name) as u32)
    }

    /// Records that bytes of the answer arrived.
    pub fn record_answering(&self) {
        let mut since = self.answering_since.lock();
        since.get_or_insert_with(BootInstant::now);
    }

    /// Returns for how long the upstream has been answering, as far as this daemon can see.
    pub fn answering_for(&self) -> Duration {
        let since = *self.answering_since.lock();
        since.map_or(Duration::ZERO, BootInstant::elapsed)
    }

    /// Returns whether the request has been answered for at least `interval` longer than when this last
    /// returned true.
    pub fn take_survival(&self, answering: Duration, interval: Duration) -> bool {
        let mut recorded = self.recorded_survival.lock();
        let is_due = answering >= *recorded + interval;
        if is_due {
            *recorded = answering;
        }
        is_due
    }

    /// Returns whether the client has events of a stream that it takes up.
    pub fn takes_up_stream(&self) -> bool {
        let has_events = self.last_event_id.is_some_and(|id| id > 0);
        let is_resumable = self.route.kind == RouteKind::Streaming && self.route.resumable;
        is_resumable && (has_events || self.resumed_attempt.is_some())
    }

    /// Returns the key of the attempt that brings or brought the first event of the client's stream; none
    /// if the client takes a stream up and does not name it.
    pub fn origin_key(&self) -> Option<AttemptKey> {
        let id = match self.takes_up_stream() {
            true => self.resumed_attempt.as_ref(),
            false => self.attempt_id.as_ref(),
        };
        id.map(|id| AttemptKey::of(id.as_bytes()))
    }

    /// Returns whether an upstream's software version may run the request.
    pub fn may_run_at(&self, upstream: &Upstream) -> bool {
        let version = self.stream_version.get();
        version.is_none_or(|version| *version == upstream.version)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.left()
    }

    /// Returns the urgency by which a hub decides whether other requests go first.
    pub fn urgency(&self) -> RequestUrgency {
        let target = self.target_latency().saturating_sub(self.started.elapsed());
        RequestUrgency {
            priority: self.priority,
            target_left_ms: to_ms(target),
            time_left_ms: to_ms(self.time_left()),
            fingerprint: self.fingerprint().number() as u64,
            route_priority: self.route.priority,
        }
    }

    /// Returns the id of the attempt for the log, or `-`.
    pub fn id_text(&self) -> &str {
        text_or_dash(self.attempt_id.as_ref())
    }

    /// Returns the id of the attempt that began the stream which the client resumes, for the log, or `-`.
    pub fn resumed_text(&self) -> &str {
        text_or_dash(self.resumed_attempt.as_ref())
    }

    /// Returns the target latency of the route.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }
}

fn text_or_dash(value: Option<&HeaderValue>) -> &str {
    value.and_then(|v| v.to_str().ok()).unwrap_or("-")
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
