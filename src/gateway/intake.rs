use {
    super::{
        forward_buffered::forward_buffered, forward_stream::forward_stream,
        open_request::OpenRequest, receive_body::receive_body, *,
    },
    crate::{
        clock::{BootInstant, timeout},
        http::{BodyLimits, RequestBody},
        names::ServiceName,
        policy::Resumption,
        routing::{AccountTerms, ClientLimits, Route, RouteKind, RouteTable},
    },
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header,
        request::Parts,
    },
    hyper::body::{Body, Incoming},
    std::{sync::Arc, time::Duration},
};

/// `Retry-After` of a daemon that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a daemon that stops: other daemons accept the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;
/// How long a request waits for the first configuration after the start of the daemon. The
/// first read takes a few milliseconds unless the source has a fault.
const CONFIG_MAX_WAIT: Duration = Duration::from_millis(100);
/// `Retry-After` of a stream whose first version is unknown. A daemon that knows it may answer by then.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a stream whose version has no upstream left. One that crashed may be back by then.
const NO_VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum `Retry-After` for a client account that has used up its quota.
const MAX_QUOTA_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Answers a client's request.
pub async fn answer_client(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    busy: RequestActivityGuard,
) -> Response<AnswerBody> {
    let id = request.headers().get(&gateway.names.attempt_id).cloned();
    let open = OpenRequest::start(&gateway, id, busy);
    let started = open.started;
    let (kind, answer) = match receive_request(&gateway, request, started).await {
        Ok(context) => (
            context.route.kind.as_str(),
            forward(&gateway, context).await,
        ),
        Err(answer) => ("none", *answer),
    };
    record_answer(kind, answer.status(), started.elapsed());
    log_answer(&gateway, &open, &answer);
    open.attach_to(answer)
}

/// Logs the head of a response: whether this daemon made it itself, after how long, and with
/// which configuration.
fn log_answer(gateway: &Gateway, open: &OpenRequest, answer: &Response<AnswerBody>) {
    let status = answer.status();
    let level = match status.is_success() {
        true => log::Level::Info,
        false => log::Level::Warn,
    };
    let is_own = !answer.headers().contains_key(&gateway.names.signature);
    log::log!(
        target: "answer",
        level,
        "request answered. request={} status={} own={is_own} after_ms={} config={}",
        open.id_text(),
        status.as_u16(),
        open.started.elapsed().as_millis(),
        gateway.config_version()
    );
}

async fn forward(gateway: &Arc<Gateway>, context: RequestContext) -> Response<AnswerBody> {
    gateway.earn_retry(&context.service);
    match context.route.kind {
        RouteKind::Streaming => forward_stream(gateway, context).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            forward_buffered(gateway, &context).await
        }
    }
}

/// The result of checking a request head.
struct Checked {
    route: Arc<Route>,
    terms: Option<Arc<AccountTerms>>,
    service: ServiceName,
}

/// Finds the route, the client account and the service of a request from its head.
async fn check_head(gateway: &Gateway, head: &Parts) -> Result<Checked, Box<Response<AnswerBody>>> {
    let Some(table) = first_table(gateway).await else {
        let detail = "no configuration yet";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Box::new(refusal(status, detail, NO_CONFIG_RETRY_AFTER)));
    };
    let route = find_route(&table, head)?;
    let terms = find_account(gateway, &table, &route, &head.headers)?;
    let Some(service) = route.pick_service(gateway.draw()).cloned() else {
        return Err(boxed_response(
            StatusCode::NOT_FOUND,
            "the route leads nowhere",
        ));
    };
    Ok(Checked {
        route,
        terms,
        service,
    })
}

/// Checks a request, reads its body and admits it.
async fn receive_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    started: BootInstant,
) -> Result<RequestContext, Box<Response<AnswerBody>>> {
    let limits = gateway.client_limits();
    let (mut head, body) = request.into_parts();
    let connection_closer = head.extensions.remove().unwrap_or_default();
    let body_limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        timeout: Duration::from_millis(limits.body_timeout_ms),
    };
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let body = RequestBody::new(body, body_limits, expects_continue);
    let checked = match check_head(gateway, &head).await {
        Ok(checked) => checked,
        Err(answer) => return Err(close_if_unread(answer, &head, &body, &limits)),
    };
    let Checked {
        route,
        terms,
        service,
    } = checked;
    // The first configuration may have arrived while `check_head` waited.
    let limits = gateway.client_limits();
    let (body, buffered_body) = receive_body(gateway, &limits, body, &connection_closer).await?;
    let prompt = Prompt::from_headers(&head.headers, &gateway.names);
    let wait_ms = number(&head.headers, &gateway.names.deadline_ms);
    let wait_ms = wait_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    if !gateway.accepts_request(wait_ms) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Box::new(refusal(
            status,
            "the daemon stops",
            STOPPING_RETRY_AFTER,
        )));
    }
    let max_wait = gateway.max_wait(&service, &route);
    let context = RequestContext {
        stream_version: std::sync::OnceLock::new(),
        first_placement: parking_lot::Mutex::default(),
        sent_at: parking_lot::Mutex::default(),
        attempt_id: head.headers.get(&gateway.names.attempt_id).cloned(),
        priority: priority_of(&route, terms.as_deref()),
        service,
        account: terms.as_ref().map(|t| t.name.clone()),
        method: head.method,
        target: path_and_query(&head.uri),
        last_event_id: number(&head.headers, &gateway.names.last_event_id),
        resumed_attempt: head.headers.get(&gateway.names.resumed_attempt).cloned(),
        headers: forwarded_headers(head.headers, &gateway.names),
        body,
        buffered_body,
        connection_closer,
        cached_fingerprint: std::sync::OnceLock::new(),
        cached_parts: std::sync::OnceLock::new(),
        answering_since: parking_lot::Mutex::default(),
        recorded_survival: parking_lot::Mutex::default(),
        prompt,
        started,
        deadline: started + Duration::from_millis(wait_ms),
        route,
    };
    if let Some(held) = gateway.held_by_part(&context) {
        return Err(refuse_held_part(gateway, &context, held));
    }
    if let Some(hold) = gateway.held_for(&context) {
        return Err(refuse_held(&context, hold));
    }
    if context.takes_up_stream() {
        check_resumption(gateway, &context).await?;
    }
    admit(gateway, &context, terms.as_deref(), max_wait).await?;
    Ok(context)
}

/// Finds the software version at which a stream may go on that the client takes up. Refuses the request
/// if that is unknown, or no upstream of this version is left.
async fn check_resumption(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
) -> Result<(), Box<Response<AnswerBody>>> {
    let resumption = gateway.find_resumption(context).await;
    let refused = |detail, retry_after| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Box::new(refusal(status, detail, retry_after)))
    };
    match resumption {
        Resumption::Anywhere => return Ok(()),
        Resumption::Nowhere => {
            let detail = "not run: it is unknown which software version began the stream";
            return refused(detail, UNKNOWN_ORIGIN_RETRY_AFTER);
        }
        Resumption::At(version) | Resumption::Inferred(version) => {
            context.stream_version.get_or_init(|| version)
        }
    };
    match gateway.has_ready_upstream(&context.service, |u| context.may_run_at(u)) {
        true => Ok(()),
        false => {
            let detail = "not run: no upstream has the software version that began the stream";
            refused(detail, NO_VERSION_RETRY_AFTER)
        }
    }
}

/// Refuses a quarantined request, under which upstreams have crashed. It has not run this
/// time. `Retry-After` names the full remaining hold, since an earlier retry is refused again.
fn refuse_held(context: &RequestContext, hold: Duration) -> Box<Response<AnswerBody>> {
    metrics::counter!(HELD_REFUSALS).increment(1);
    log::warn!(
        target: "crash",
        "request refused: upstreams crashed while running it. request={} fingerprint={} held_s={}",
        context.id_text(),
        context.fingerprint(),
        hold.as_secs()
    );
    let detail = "not run: upstreams ended each time that this request ran";
    Box::new(refusal(StatusCode::SERVICE_UNAVAILABLE, detail, hold))
}

/// Refuses a request because of a part of its prompt. `Retry-After` names the full remaining hold, since
/// an earlier retry is refused again.
fn refuse_held_part(
    gateway: &Gateway,
    context: &RequestContext,
    held: HeldByPart,
) -> Box<Response<AnswerBody>> {
    metrics::counter!(HELD_REFUSALS).increment(1);
    log::warn!(
        target: "crash",
        "request refused: upstreams crash when they answer a prompt with one of its parts. request={} id={} part={} held_s={}",
        context.id_text(),
        gateway.part_id_text(context, held.part),
        held.part,
        held.left.as_secs()
    );
    let detail =
        "not run: upstreams ended each time that they answered a prompt with one of its parts";
    Box::new(refusal(StatusCode::SERVICE_UNAVAILABLE, detail, held.left))
}

/// Returns the current route table; after the start, waits up to `CONFIG_MAX_WAIT` for it.
async fn first_table(gateway: &Gateway) -> Option<Arc<RouteTable>> {
    if let Some(table) = gateway.table() {
        return Some(table);
    }
    if !gateway.settings.mechanisms.held_requests {
        return None;
    }
    let mut changes = gateway.changes.subscribe();
    let arrival = changes.wait_for(|_| gateway.table().is_some());
    // On a timeout, the caller refuses the request for lack of a configuration.
    let _ = timeout(CONFIG_MAX_WAIT, arrival).await;
    gateway.table()
}

pub(super) fn boxed_response(status: StatusCode, detail: &str) -> Box<Response<AnswerBody>> {
    Box::new(local_response(status, detail))
}

/// Builds a local response after which the connection is closed, since the client may not
/// have sent its complete request.
pub(super) fn closing_response(status: StatusCode, detail: &str) -> Box<Response<AnswerBody>> {
    let mut answer = boxed_response(status, detail);
    set_connection_close(&mut answer);
    answer
}

fn find_route(table: &RouteTable, head: &Parts) -> Result<Arc<Route>, Box<Response<AnswerBody>>> {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let route = table.find_route(host, head.uri.path());
    route
        .cloned()
        .ok_or_else(|| boxed_response(StatusCode::NOT_FOUND, "no route"))
}

fn find_account(
    gateway: &Gateway,
    table: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<AccountTerms>>, Box<Response<AnswerBody>>> {
    let key = headers.get(&gateway.names.api_key);
    let terms = key
        .and_then(|v| v.to_str().ok())
        .and_then(|key| table.find_account(key));
    if terms.is_none() && table.needs_keys() && !route.public {
        return Err(boxed_response(
            StatusCode::UNAUTHORIZED,
            "no client account has this key",
        ));
    }
    Ok(terms.cloned())
}

/// Adds `Connection: close` to a refusal whose request body is not read to its end: a body
/// that is too large, or that the client sends only after `100 Continue`.
fn close_if_unread(
    mut answer: Box<Response<AnswerBody>>,
    head: &Parts,
    body: &RequestBody,
    limits: &ClientLimits,
) -> Box<Response<AnswerBody>> {
    let is_too_large = body.size_hint().lower() > limits.max_body_bytes as u64;
    if is_too_large || head.headers.contains_key(header::EXPECT) {
        set_connection_close(&mut answer);
    }
    answer
}

/// Adds `Connection: close` to a response.
pub(super) fn set_connection_close(answer: &mut Response<AnswerBody>) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

async fn admit(
    gateway: &Gateway,
    context: &RequestContext,
    account: Option<&AccountTerms>,
    max_wait: Duration,
) -> Result<(), Box<Response<AnswerBody>>> {
    let admitted = gateway.admit_and_place(context, account, max_wait).await;
    admitted.map_err(|refused| match refused {
        Refusal::Quota { retry_after } => refuse_quota(gateway, context, account, retry_after),
        Refusal::NoRoom { retry_after } => Box::new(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "no upstream has room for the request in time",
            retry_after,
        )),
    })
}

fn refuse_quota(
    gateway: &Gateway,
    context: &RequestContext,
    account: Option<&AccountTerms>,
    retry_after: Duration,
) -> Box<Response<AnswerBody>> {
    if gateway.is_hub()
        && let Some(account) = account
    {
        let cost = account.cost(context.prompt.tokens());
        let urgency = Some(context.urgency());
        gateway.log_refusal(account, cost, urgency, retry_after, context.id_text());
    }
    metrics::counter!(QUOTA_REFUSALS).increment(1);
    Box::new(refusal(
        StatusCode::TOO_MANY_REQUESTS,
        "the quota is used up",
        retry_after.min(MAX_QUOTA_RETRY_AFTER),
    ))
}

fn priority_of(route: &Route, terms: Option<&AccountTerms>) -> u8 {
    let account_rank = terms.and_then(|t| t.priority);
    account_rank.unwrap_or(route.priority).min(9)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn path_and_query(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| uri.clone(), Uri::from)
}

/// Returns the request headers without hop-by-hop headers and without those that only the
/// system sets.
fn forwarded_headers(mut headers: HeaderMap, names: &HeaderNames) -> HeaderMap {
    strip_connection_headers(&mut headers);
    for name in names.set_by_system() {
        headers.remove(name);
    }
    // The body is sent complete, and hyper sets its length.
    headers.remove(header::CONTENT_LENGTH);
    headers
}
