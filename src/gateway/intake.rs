use {
    super::{
        forward_stream::forward_stream, forward_whole::forward_whole, open_request::OpenRequest, *,
    },
    crate::{
        clock::{BootInstant, timeout},
        http::{BodyLimits, RequestBody},
        names::ServiceName,
        routing::{AccountTerms, ClientLimits, Route, RouteKind, RouteTable},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header,
        request::Parts,
    },
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body, Incoming},
    std::{sync::Arc, time::Duration},
};

/// The wait that is told while a daemon has no configuration.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The wait that is told by a daemon that stops: others take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;
/// How long a request is held at the start until a configuration is there: its
/// first read takes some milliseconds unless the source is in trouble.
const CONFIG_PATIENCE: Duration = Duration::from_millis(100);
/// How many times what an answer takes on average must be left of the wanted
/// latency when a request's hold for its quota ends: its answer is then in time
/// more likely than not.
const TIMES_LEFT: f64 = 2.0;
/// The longest wait that is told to a client account beyond its quota.
const MAX_QUOTA_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Answers a client's request.
pub async fn answer_client(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    busy: BusyConnection,
) -> Response<AnswerBody> {
    let id = request.headers().get(&gateway.names.attempt_id).cloned();
    let open = OpenRequest::start(&gateway, id, busy);
    let started = open.started;
    let (kind, answer) = match take_in(&gateway, request, started).await {
        Ok(context) => (
            context.route.kind.as_str(),
            forward(&gateway, context).await,
        ),
        Err(answer) => ("none", *answer),
    };
    record_answer(kind, answer.status(), started.elapsed());
    log_answer(&gateway, &open, &answer);
    open.until_end_of(answer)
}

/// Logs the head of an answer: who gave it, after how long, by which
/// configuration.
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
        "answered. request={} status={} own={is_own} after_ms={} config={}",
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
        RouteKind::Idempotent | RouteKind::NonIdempotent => forward_whole(gateway, &context).await,
    }
}

/// What was found out about a request from its head.
struct Checked {
    route: Arc<Route>,
    terms: Option<Arc<AccountTerms>>,
    service: ServiceName,
}

/// Checks a request by its head.
async fn check_head(gateway: &Gateway, head: &Parts) -> Result<Checked, Box<Response<AnswerBody>>> {
    let Some(table) = first_table(gateway).await else {
        let detail = "no configuration yet";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Box::new(refusal(status, detail, NO_CONFIG_RETRY_AFTER)));
    };
    let route = find_route(&table, head)?;
    let terms = find_account(gateway, &table, &route, &head.headers)?;
    let Some(service) = route.pick_service(gateway.draw()).cloned() else {
        return Err(own(StatusCode::NOT_FOUND, "the route leads nowhere"));
    };
    Ok(Checked {
        route,
        terms,
        service,
    })
}

/// Checks a request and reads it whole.
async fn take_in(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    started: BootInstant,
) -> Result<RequestContext, Box<Response<AnswerBody>>> {
    let limits = gateway.client_limits();
    let (head, body) = request.into_parts();
    let body_limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        timeout: Duration::from_millis(limits.body_timeout_ms),
    };
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let body = RequestBody::new(body, body_limits, expects_continue);
    let checked = match check_head(gateway, &head).await {
        Ok(checked) => checked,
        Err(answer) => return Err(refuse_unread(answer, &head, &body, &limits)),
    };
    let Checked {
        route,
        terms,
        service,
    } = checked;
    // The first configuration may have come meanwhile.
    let limits = gateway.client_limits();
    let body = read_body(&limits, body).await?;
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
    let max_wait = max_wait(gateway, &service, &route);
    let context = RequestContext {
        placed: parking_lot::Mutex::default(),
        sent_at: parking_lot::Mutex::default(),
        attempt_id: head.headers.get(&gateway.names.attempt_id).cloned(),
        priority: priority_of(&route, terms.as_deref()),
        service,
        account: terms.as_ref().map(|t| t.name.clone()),
        method: head.method,
        target: path_and_query(&head.uri),
        last_event_id: number(&head.headers, &gateway.names.last_event_id),
        headers: forwarded_headers(head.headers, &gateway.names),
        body,
        known_by: std::sync::OnceLock::new(),
        prompt,
        started,
        give_up_at: started + Duration::from_millis(wait_ms),
        route,
    };
    if let Some(hold) = gateway.held_for(&context) {
        return Err(refuse_held(&context, hold));
    }
    admit(gateway, &context, terms.as_deref(), max_wait).await?;
    Ok(context)
}

/// Refuses a request under which upstreams ended: it has not run this time. Its caller is
/// told the truth of when it may come back, since asking sooner is of no use to it.
fn refuse_held(context: &RequestContext, hold: Duration) -> Box<Response<AnswerBody>> {
    metrics::counter!(HELD_REFUSALS).increment(1);
    log::warn!(
        target: "crash",
        "refused: upstreams ended under this request. request={} fingerprint={} held_s={}",
        context.id_text(),
        context.fingerprint(),
        hold.as_secs()
    );
    let detail = "not run: upstreams ended each time that this request ran";
    Box::new(refusal(StatusCode::SERVICE_UNAVAILABLE, detail, hold))
}

/// Returns for how long a request may be held so that its answer is still likely
/// to be in time, by how long answers of its service take.
fn max_wait(gateway: &Gateway, service: &ServiceName, route: &Route) -> Duration {
    let times = gateway.engine_times(service);
    let answer_ms = match route.kind {
        RouteKind::Streaming => times.first_event_ms,
        RouteKind::Idempotent | RouteKind::NonIdempotent => times.stay_ms,
    };
    let left_ms = route.target_latency_ms as f64 - answer_ms * TIMES_LEFT;
    Duration::from_secs_f64(left_ms.max(0.0) / 1_000.0)
}

/// Returns the routes in force; waits a little for the first ones.
async fn first_table(gateway: &Gateway) -> Option<Arc<RouteTable>> {
    if let Some(table) = gateway.table() {
        return Some(table);
    }
    if !gateway.settings.mechanisms.held_requests {
        return None;
    }
    let mut news = gateway.news.subscribe();
    let known = news.wait_for(|_| gateway.table().is_some());
    // In vain: the caller answers without a configuration.
    let _ = timeout(CONFIG_PATIENCE, known).await;
    gateway.table()
}

fn own(status: StatusCode, detail: &str) -> Box<Response<AnswerBody>> {
    Box::new(local_response(status, detail))
}

/// Makes an answer of our own after which the connection is closed: its client
/// may not have sent the whole request.
fn last(status: StatusCode, detail: &str) -> Box<Response<AnswerBody>> {
    let mut answer = own(status, detail);
    say_close(&mut answer);
    answer
}

fn find_route(table: &RouteTable, head: &Parts) -> Result<Arc<Route>, Box<Response<AnswerBody>>> {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let route = table.find_route(host, head.uri.path());
    route
        .cloned()
        .ok_or_else(|| own(StatusCode::NOT_FOUND, "no route"))
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
        return Err(own(
            StatusCode::UNAUTHORIZED,
            "no client account has this key",
        ));
    }
    Ok(terms.cloned())
}

/// Says that the connection is closed after a refusal whose request has a body that
/// is not read to its end: one that is too large, or that the client sends only
/// once it is told to.
fn refuse_unread(
    mut answer: Box<Response<AnswerBody>>,
    head: &Parts,
    body: &RequestBody,
    limits: &ClientLimits,
) -> Box<Response<AnswerBody>> {
    let is_too_large = body.size_hint().lower() > limits.max_body_bytes as u64;
    if is_too_large || head.headers.contains_key(header::EXPECT) {
        say_close(&mut answer);
    }
    answer
}

/// Says in an answer that its connection is closed after it.
pub(super) fn say_close(answer: &mut Response<AnswerBody>) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

async fn read_body(
    limits: &ClientLimits,
    body: RequestBody,
) -> Result<Bytes, Box<Response<AnswerBody>>> {
    let max_wait = Duration::from_millis(limits.body_timeout_ms);
    let limited = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(max_wait, limited).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(last(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(_)) => Err(last(StatusCode::BAD_REQUEST, "the body was cut off")),
        Err(_) => Err(last(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}

async fn admit(
    gateway: &Gateway,
    context: &RequestContext,
    account: Option<&AccountTerms>,
    max_wait: Duration,
) -> Result<(), Box<Response<AnswerBody>>> {
    let admitted = gateway.let_in(context, account, max_wait).await;
    admitted.map_err(|wait| {
        if gateway.is_hub()
            && let Some(account) = account
        {
            let cost = account.cost(context.prompt.tokens());
            gateway.log_refusal(account, cost, wait, context.id_text());
        }
        metrics::counter!(QUOTA_REFUSALS).increment(1);
        Box::new(refusal(
            StatusCode::TOO_MANY_REQUESTS,
            "the quota is used up",
            wait.min(MAX_QUOTA_RETRY_AFTER),
        ))
    })
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

/// Leaves out what concerns the client's connection, and what only the system
/// may say.
fn forwarded_headers(mut headers: HeaderMap, names: &HeaderNames) -> HeaderMap {
    strip_connection_headers(&mut headers);
    for name in names.set_by_system() {
        headers.remove(name);
    }
    // The body goes out whole, with its own length.
    headers.remove(header::CONTENT_LENGTH);
    headers
}
