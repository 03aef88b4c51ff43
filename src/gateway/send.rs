use {
    super::{
        Gateway, Placement, RequestContext,
        link_state::CONNECT_TIMEOUT,
        slot_state::{NoSlot, Slot},
    },
    crate::{
        clock::BootInstant,
        cluster::{RelayedRequest, send_through},
        policy::{FirstEvent, LinkPath, SlotRelease, SpeedSample},
        upstreams::*,
    },
    http::{HeaderValue, Request, StatusCode, Version},
    http_body_util::Full,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Maximum idle time of a pooled connection for a request that may run only once. The
/// upstream may be closing a connection that has been idle for longer.
const MAX_IDLE_RUN_ONCE: Duration = Duration::from_secs(2);
/// Maximum idle time of a pooled connection for a repeatable request.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(60);

/// Counts a request in the load of an upstream until it is dropped.
#[derive(Debug)]
pub struct ActiveSend {
    gateway: Arc<Gateway>,
    upstream: Arc<Upstream>,
    /// Prompt tokens that still count as waiting; 0 once the upstream has begun to respond.
    waiting_tokens: u64,
    /// Prompt tokens that the upstream has to prefill for this request.
    unread_tokens: u64,
    /// Tokens that the request holds in the upstream's memory until it ends.
    held_tokens: u64,
    /// Prompt tokens of other requests that waited at the upstream.
    queued_tokens: u64,
    /// An attempt at another upstream preceded this one.
    is_retry: bool,
    started: BootInstant,
}

impl ActiveSend {
    fn start(gateway: &Arc<Gateway>, placement: &Placement, tokens_out: u64) -> Self {
        let unread_tokens = placement.unread_tokens;
        let held_tokens = unread_tokens.saturating_add(tokens_out);
        let mut loads = gateway.loads.lock();
        let load = loads.entry(&placement.upstream.id);
        load.active += 1;
        load.waiting_tokens += unread_tokens;
        load.held_tokens = load.held_tokens.saturating_add(held_tokens);
        drop(loads);
        gateway.report_early.notify_one();
        Self {
            gateway: gateway.clone(),
            upstream: placement.upstream.clone(),
            waiting_tokens: unread_tokens,
            unread_tokens,
            held_tokens,
            queued_tokens: placement.waiting_tokens,
            is_retry: placement.is_retry,
            started: BootInstant::now(),
        }
    }

    /// Records that the upstream sent part of the response.
    pub fn progress(&mut self) {
        let now_ms = self.gateway.steady_ms();
        let mut loads = self.gateway.loads.lock();
        let load = loads.entry(&self.upstream.id);
        load.record_progress(now_ms);
        load.waiting_tokens = load.waiting_tokens.saturating_sub(self.waiting_tokens);
        drop(loads);
        if std::mem::take(&mut self.waiting_tokens) > 0 {
            self.gateway.report_early.notify_one();
        }
    }

    /// Records the first event of the response. The service's speed is learned from it only if no
    /// other request waited at the upstream; the upstream's speed is learned in both cases.
    pub fn first_event(&self) {
        if self.is_retry {
            return;
        }
        let after_ms = self.age_ms();
        let service = &self.upstream.service;
        self.gateway.record_speed_sample(
            service,
            SpeedSample {
                upstream: self.upstream.id.clone(),
                waiting_tokens: self.queued_tokens,
                unread_tokens: self.unread_tokens,
                after_ms,
            },
        );
        if self.queued_tokens == 0 {
            let event = FirstEvent {
                unread_tokens: self.unread_tokens,
                after_ms,
            };
            self.gateway.record_first_event(service, event);
        }
    }

    /// Records that the request was answered completely.
    pub fn record_completed(&self) {
        let service = &self.upstream.service;
        self.gateway.record_stay(service, self.age_ms());
    }

    /// Returns the time since the start of the attempt, in milliseconds.
    pub fn age_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        let mut loads = self.gateway.loads.lock();
        let load = loads.entry(&self.upstream.id);
        load.active = load.active.saturating_sub(1);
        load.held_tokens = load.held_tokens.saturating_sub(self.held_tokens);
        load.waiting_tokens = load.waiting_tokens.saturating_sub(self.waiting_tokens);
        drop(loads);
        self.gateway.report_early.notify_one();
    }
}

/// A request that an upstream has started to answer.
#[derive(Debug)]
pub struct Sent {
    /// The upstream that answers.
    pub upstream: Arc<Upstream>,
    /// The response, whose body is still to be read.
    pub answer: OpenAnswer,
    /// Counts the request in the load of the upstream.
    pub active: ActiveSend,
    /// The slot of an upstream that bears few rejections.
    _slot: Option<Slot>,
}

/// Sends a request to an upstream and waits for the head of the response.
///
/// # Errors
///
/// Returns how the send failed, and with it whether the request may have run.
pub async fn send(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    placement: &Placement,
    last_event_id: Option<u64>,
) -> Result<Sent, SendFailure> {
    let upstream = &placement.upstream;
    // A hub of an earlier build, which does not know limits, places without a permit.
    if !placement.has_permit && gateway.take_permit(&upstream.id, false).await.is_err() {
        let cause = "the upstream's rate limit is used up";
        return Err(SendFailure::NotSent(cause.into()));
    }
    let slot = gateway.take_slot(upstream, context.deadline).await;
    let mut slot = slot.map_err(|NoSlot| SendFailure::NoSlot)?;
    let mut active = ActiveSend::start(gateway, placement, context.prompt.tokens_out);
    let path = open_path(gateway, context, placement).await?;
    // The state of the upstream may have changed since it was chosen.
    if !gateway.directory.read().is_ready(&upstream.id) {
        return Err(SendFailure::NotSent("the upstream is leaving".into()));
    }
    if gateway.is_in_cooldown(&upstream.id) {
        return Err(SendFailure::NotSent("the upstream is in cooldown".into()));
    }
    *context.sent_at.lock() = Some(BootInstant::now());
    *context.answering_since.lock() = None;
    gateway.record_cached(&context.prompt, upstream);
    let request = build_request(gateway, context, upstream, last_event_id);
    let sent_ms = gateway.steady_ms();
    let answer = match path {
        OpenPath::Direct(connection) => {
            let endpoint = Endpoint::Upstream(upstream.id.clone());
            OpenAnswer::open(&gateway.pool, endpoint, connection, request).await?
        }
        OpenPath::Relayed(relays) => {
            let relayed = RelayedRequest {
                upstream: upstream.id.clone(),
                request,
                max_idle: max_idle(context, placement),
                connect_timeout: CONNECT_TIMEOUT.min(context.time_left()),
            };
            send_through(gateway, &relays, relayed).await?
        }
    };
    active.progress();
    gateway.check_owner(&context.headers, &upstream.id, &answer.head)?;
    if answer.head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(SendFailure::Misdirected);
    }
    gateway.record_signals(context, upstream, &answer.head);
    gateway.record_named_limit(upstream, &answer.head.headers, sent_ms);
    gateway.record_named_bound(upstream, &answer.head.headers, sent_ms);
    let outcome = check_run(gateway, &answer);
    if let Some(slot) = &mut slot {
        slot.record(match outcome {
            Ok(()) => SlotRelease::Taken,
            Err(_) => SlotRelease::Rejected,
        });
    }
    outcome?;
    Ok(Sent {
        upstream: upstream.clone(),
        answer,
        active,
        _slot: slot,
    })
}

/// A way to an upstream that is ready to be used.
enum OpenPath {
    /// A connection to the upstream.
    Direct(UpstreamConnection),
    /// Daemons that pass the request on.
    Relayed(Vec<SocketAddr>),
}

async fn open_path(
    gateway: &Gateway,
    context: &RequestContext,
    placement: &Placement,
) -> Result<OpenPath, SendFailure> {
    match gateway.path_to(&placement.upstream.id) {
        LinkPath::Direct => connect(gateway, context, placement)
            .await
            .map(OpenPath::Direct),
        LinkPath::Relayed(relays) => Ok(OpenPath::Relayed(relays)),
        LinkPath::None => Err(SendFailure::NotSent(
            "neither this daemon nor another one reaches the upstream".into(),
        )),
    }
}

async fn connect(
    gateway: &Gateway,
    context: &RequestContext,
    placement: &Placement,
) -> Result<UpstreamConnection, SendFailure> {
    let upstream = &placement.upstream;
    let endpoint = Endpoint::Upstream(upstream.id.clone());
    if let Some(connection) = gateway.pool.take(&endpoint, max_idle(context, placement)) {
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(context.time_left());
    gateway.connect_for_request(upstream, timeout).await
}

/// Returns how long a connection may have been idle that is used for a request.
fn max_idle(context: &RequestContext, placement: &Placement) -> Duration {
    match context.route.is_retryable() {
        _ if placement.is_retry => Duration::ZERO,
        true => MAX_IDLE_REPEATABLE,
        false => MAX_IDLE_RUN_ONCE,
    }
}

fn build_request(
    gateway: &Gateway,
    context: &RequestContext,
    upstream: &Upstream,
    last_event_id: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let names = &gateway.names;
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = context.target.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = context.headers.clone();
    let headers = request.headers_mut();
    let left_ms = context.time_left().as_millis() as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(left_ms.max(1)));
    headers.insert(
        &names.priority,
        HeaderValue::from(u16::from(context.priority)),
    );
    if let Ok(id) = HeaderValue::from_str(upstream.id.upstream()) {
        headers.insert(&names.expected_upstream, id);
    }
    if let Some(terms) = &context.account
        && let Ok(terms) = HeaderValue::from_str(terms.as_str())
    {
        headers.insert(&names.account, terms);
    }
    if let Some(id) = last_event_id {
        headers.insert(&names.last_event_id, HeaderValue::from(id));
    }
    request
}

/// Checks that the upstream did not refuse the request without running it.
fn check_run(gateway: &Gateway, answer: &OpenAnswer) -> Result<(), SendFailure> {
    match answer.head.headers.contains_key(&gateway.names.not_run) {
        true => Err(SendFailure::Refused(answer.head.status.as_u16())),
        false => Ok(()),
    }
}
