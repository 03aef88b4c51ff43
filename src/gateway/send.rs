use {
    super::{Gateway, Placement, RequestContext},
    crate::{backends::*, names::BackendId},
    http::{HeaderValue, Request, StatusCode, Version},
    http_body_util::Full,
    std::{sync::Arc, time::Duration},
};

/// How long opening a connection to a back end may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A request that may run once only goes out on a connection that has rested
/// less than this: one that rested longer may just be closing.
const FRESH: Duration = Duration::from_secs(2);
const ANY_REST: Duration = Duration::from_secs(60);

/// Counts a request at a back end for as long as it is there.
#[derive(Debug)]
pub struct ActiveSend {
    gateway: Arc<Gateway>,
    backend: BackendId,
    waiting_tokens: u64,
}

impl ActiveSend {
    fn start(gateway: &Arc<Gateway>, backend: &BackendId, waiting_tokens: u64) -> Self {
        let mut loads = gateway.loads.lock();
        let load = loads.entry(backend);
        load.active += 1;
        load.waiting_tokens += waiting_tokens;
        drop(loads);
        Self {
            gateway: gateway.clone(),
            backend: backend.clone(),
            waiting_tokens,
        }
    }

    /// Notes that the back end sent something.
    pub fn progress(&mut self) {
        let now_ms = self.gateway.steady_ms();
        let mut loads = self.gateway.loads.lock();
        let load = loads.entry(&self.backend);
        load.note_progress(now_ms);
        load.waiting_tokens = load.waiting_tokens.saturating_sub(self.waiting_tokens);
        self.waiting_tokens = 0;
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        let mut loads = self.gateway.loads.lock();
        let load = loads.entry(&self.backend);
        load.active = load.active.saturating_sub(1);
        load.waiting_tokens = load.waiting_tokens.saturating_sub(self.waiting_tokens);
    }
}

/// A request that is out at a back end.
#[derive(Debug)]
pub struct Sent {
    /// The back end.
    pub backend: Arc<Backend>,
    /// The answer, its body still to be read.
    pub answer: OpenAnswer,
    /// Counts the request at the back end.
    pub active: ActiveSend,
}

/// Sends a request to a back end and waits for the answer's head.
///
/// # Errors
///
/// Returns what is known of the request's run.
pub async fn send(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    placement: &Placement,
    last_event_id: Option<u64>,
) -> Result<Sent, SendFailure> {
    let backend = &placement.backend;
    let mut active = ActiveSend::start(gateway, &backend.id, placement.unread_tokens);
    let connection = connect(gateway, context, placement).await?;
    // What is true now counts, not what was when the back end was chosen.
    if !gateway.directory.read().is_ready(&backend.id) {
        return Err(SendFailure::NotSent("the back end is leaving".into()));
    }
    gateway.note_cached(context, backend);
    let request = build_request(gateway, context, backend, last_event_id);
    let answer = OpenAnswer::open(&gateway.pool, &backend.id, connection, request).await?;
    active.progress();
    check_head(gateway, context, &answer)?;
    Ok(Sent {
        backend: backend.clone(),
        answer,
        active,
    })
}

async fn connect(
    gateway: &Gateway,
    context: &RequestContext,
    placement: &Placement,
) -> Result<BackendConnection, SendFailure> {
    let backend = &placement.backend;
    let max_rest = match context.route.is_repeatable() {
        _ if placement.is_repeat => Duration::ZERO,
        true => ANY_REST,
        false => FRESH,
    };
    if let Some(connection) = gateway.pool.take(&backend.id, max_rest) {
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(context.time_left());
    let connected = BackendPool::connect(backend.address, timeout).await;
    gateway.note_reach(backend, connected.is_ok());
    connected
}

fn build_request(
    gateway: &Gateway,
    context: &RequestContext,
    backend: &Backend,
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
    if let Ok(id) = HeaderValue::from_str(backend.id.as_str()) {
        headers.insert(&names.expected_backend, id);
    }
    if let Some(tenant) = &context.tenant
        && let Ok(tenant) = HeaderValue::from_str(tenant.as_str())
    {
        headers.insert(&names.tenant, tenant);
    }
    if let Some(id) = last_event_id {
        headers.insert(&names.last_event_id, HeaderValue::from(id));
    }
    request
}

/// Checks that an answer belongs to the request and that the back end ran it.
fn check_head(
    gateway: &Gateway,
    context: &RequestContext,
    answer: &OpenAnswer,
) -> Result<(), SendFailure> {
    let status = answer.head.status;
    let headers = &answer.head.headers;
    let other = context.attempt_id.is_some()
        && headers
            .get(&gateway.names.attempt_id)
            .is_some_and(|id| Some(id) != context.attempt_id.as_ref());
    if other {
        return Err(SendFailure::MayHaveRun(
            "an answer of another request".into(),
        ));
    }
    let not_run = headers.contains_key(&gateway.names.not_run);
    if not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(SendFailure::Refused(status.as_u16()));
    }
    Ok(())
}
