use {
    super::{server::BODY_TIMEOUT, *},
    crate::{app::*, engine::*, http::RequestBody, names::*, requests::*},
    bytes::Bytes,
    futures_util::future::BoxFuture,
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    serde_json::json as value,
    sha2::{Digest, Sha256},
    std::{
        convert::Infallible,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
    tower::Service,
};

/// Maximum deadline that a caller may request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The HTTP service for callers: model calls, calls to plain services, the list of models, and
/// reattaching to a request.
#[derive(Clone)]
pub struct CallerService {
    world: Arc<World>,
}

impl CallerService {
    /// Creates the service.
    pub fn new(world: Arc<World>) -> Self {
        Self { world }
    }

    async fn answer(self, req: Request<RequestBody>) -> Response<Body> {
        let path = req.uri().path().to_string();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            _ => match self.route_call(req, &path).await {
                Ok(response) => response,
                Err(refusal) => refusal_response(&refusal, None),
            },
        }
    }

    fn readiness(&self) -> Response<Body> {
        if self.world.is_ready() {
            return text(StatusCode::OK, "ready\n");
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    async fn route_call(
        &self,
        req: Request<RequestBody>,
        path: &str,
    ) -> Result<Response<Body>, Refusal> {
        let table = self.world.active_table();
        if table.version == 0 {
            return Err(Refusal::not_run(503, "this box has no table yet", 1_000));
        }
        let account = account_of(&table, req.headers());
        let Some(account) = account else {
            return Err(Refusal::malformed(401, "no account has this bearer token"));
        };
        if path == "/v1/models" {
            return Ok(self.models(&account));
        }
        if let Some(id) = path.strip_prefix("/v1/requests/") {
            return self.reattach(&req, id, account).await;
        }
        let chat = path == "/v1/chat/completions";
        if chat || path == "/v1/completions" {
            return self.model_call(req, account, chat).await;
        }
        self.plain_call(req, account).await
    }

    fn models(&self, account: &ClientAccount) -> Response<Body> {
        let table = self.world.active_table();
        let is_offered = |c: &&crate::contracts::Contract| {
            c.account == *account && c.failure_domain == *self.world.my_domain()
        };
        let data: Vec<_> = table
            .rows()
            .filter(is_offered)
            .map(|c| value!({ "id": c.service.as_str(), "object": "model" }))
            .collect();
        json(StatusCode::OK, &value!({ "object": "list", "data": data }))
    }

    async fn model_call(
        &self,
        req: Request<RequestBody>,
        account: ClientAccount,
        chat: bool,
    ) -> Result<Response<Body>, Refusal> {
        if req.method() != Method::POST {
            return Err(Refusal::malformed(405, "expected POST"));
        }
        let headers = req.headers().clone();
        let body = self.read_body(req).await?;
        let call = parse_model_call(chat, &body).map_err(|e| Refusal::malformed(400, e))?;
        let work = Work::Model(call.work);
        let sub = submission(&headers, account.clone(), call.service, work)?;
        let accepted = accept(&self.world, sub).await?;
        let rx = self.follow(&accepted, &account, 0);
        let mut response = if call.stream {
            stream_response(accepted.id, 0, rx)
        } else {
            full_response(accepted.id, rx).await
        };
        add_acceptance_headers(&mut response, &accepted);
        Ok(response)
    }

    async fn plain_call(
        &self,
        req: Request<RequestBody>,
        account: ClientAccount,
    ) -> Result<Response<Body>, Refusal> {
        let (service, path) = split_service(req.uri().path());
        let query = req.uri().query().map_or(String::new(), |q| format!("?{q}"));
        let path = format!("{path}{query}");
        let method = req.method().to_string();
        let headers = req.headers().clone();
        let body = self.read_body(req).await?;
        let content_type = headers.get(header::CONTENT_TYPE);
        let work = Work::Plain(PlainCall {
            method,
            path,
            content_type: content_type
                .and_then(|v| v.to_str().ok())
                .unwrap_or("")
                .to_string(),
            body: body.to_vec(),
        });
        let sub = submission(&headers, account.clone(), service, work)?;
        let accepted = accept(&self.world, sub).await?;
        let rx = self.follow(&accepted, &account, 0);
        let mut response = full_response(accepted.id, rx).await;
        add_acceptance_headers(&mut response, &accepted);
        Ok(response)
    }

    async fn reattach(
        &self,
        req: &Request<RequestBody>,
        id: &str,
        account: ClientAccount,
    ) -> Result<Response<Body>, Refusal> {
        if req.method() != Method::GET {
            return Err(Refusal::malformed(405, "expected GET"));
        }
        let malformed = |e: RequestIdError| Refusal::malformed(400, format!("request: {e}"));
        let id: RequestId = id.parse().map_err(malformed)?;
        let from = match req.headers().get("last-event-id") {
            None => 0,
            Some(v) => v
                .to_str()
                .ok()
                .and_then(|v| parse_event_id(v, id))
                .ok_or_else(|| {
                    Refusal::malformed(400, "`Last-Event-ID`: expected `<request>:<offset>`")
                })?,
        };
        let deadline_ms = now_ms() + self.world.settings.requests.deadline_ms;
        let mut rx = AnswerReader::start(&self.world, id, &account, from, false, deadline_ms);
        let first = rx.recv().await;
        let Some(AnswerEvent::Spec(spec)) = first else {
            let failure = match first {
                Some(AnswerEvent::Ending(Ending::Failed(f))) => f,
                _ => return Err(Refusal::malformed(404, "no box knows the request")),
            };
            return Ok(problem_response(
                status_of(failure.outcome),
                &failure,
                Some(id),
            ));
        };
        if spec.model().is_none() {
            return Ok(full_response(id, rx).await);
        }
        let mut writer = SseWriter::new(id, from);
        writer.set_spec(&spec);
        Ok(sse_response(sse_body(writer, rx)))
    }

    fn follow(
        &self,
        accepted: &Accepted,
        account: &ClientAccount,
        from: usize,
    ) -> mpsc::Receiver<AnswerEvent> {
        let deadline_ms = accepted.deadline_ms + 1_000;
        AnswerReader::start(&self.world, accepted.id, account, from, true, deadline_ms)
    }

    async fn read_body(&self, req: Request<RequestBody>) -> Result<Bytes, Refusal> {
        let max_bytes = self.world.settings.requests.max_body_bytes;
        let limited = Limited::new(req.into_body(), max_bytes).collect();
        match tokio::time::timeout(BODY_TIMEOUT, limited).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::malformed(
                413,
                format!("expected a body of at most {max_bytes} bytes"),
            )),
            Ok(Err(e)) => Err(Refusal::malformed(
                400,
                format!("the body was cut off: {e}"),
            )),
            Err(_) => Err(Refusal::malformed(408, "the body took too long")),
        }
    }
}

impl Service<Request<RequestBody>> for CallerService {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<Body>, Infallible>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<RequestBody>) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.answer(req).await) })
    }
}

/// Builds a submission from the headers that control a request: the idempotency key, whether
/// the request is repeatable, its deadline and its durability.
fn submission(
    headers: &HeaderMap,
    account: ClientAccount,
    service: ServiceName,
    work: Work,
) -> Result<Submission, Refusal> {
    check_headers(headers)?;
    let key = match header_text(headers, "idempotency-key")? {
        None => None,
        Some(text) => {
            let malformed = |e| Refusal::malformed(400, format!("`Idempotency-Key`: {e}"));
            Some(
                text.trim_matches('"')
                    .parse::<RequestId>()
                    .map_err(malformed)?,
            )
        }
    };
    let repeatable = match header_text(headers, "saddlepulley-repeatable")? {
        None => None,
        Some("yes") => Some(true),
        Some("no") => Some(false),
        Some(_) => return Err(expected("Saddlepulley-Repeatable", "`yes` or `no`")),
    };
    let deadline_ms = match header_text(headers, "saddlepulley-deadline-ms")? {
        None => None,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Some(ms),
            _ => return Err(expected("Saddlepulley-Deadline-Ms", "1 to 3600000")),
        },
    };
    let cross_domain_only = match header_text(headers, "saddlepulley-durability")? {
        None => false,
        Some("cross-domain") => true,
        Some(_) => return Err(expected("Saddlepulley-Durability", "`cross-domain`")),
    };
    Ok(Submission {
        account,
        service,
        work,
        key,
        repeatable,
        deadline_ms,
        cross_domain_only,
    })
}

/// Refuses unknown headers with the project's prefix, since a misspelt header would otherwise
/// be ignored silently.
fn check_headers(headers: &HeaderMap) -> Result<(), Refusal> {
    const KNOWN: [&str; 3] = ["repeatable", "deadline-ms", "durability"];
    for name in headers.keys() {
        let Some(rest) = name.as_str().strip_prefix("saddlepulley-") else {
            continue;
        };
        if !KNOWN.contains(&rest) {
            return Err(Refusal::malformed(400, format!("unknown header `{name}`")));
        }
    }
    Ok(())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| expected(name, "printable ASCII"))?;
    Ok(Some(text))
}

fn expected(name: &str, what: &str) -> Refusal {
    Refusal::malformed(400, format!("`{name}`: expected {what}"))
}

/// Splits a path into the service, which is its first segment, and the path at the service.
fn split_service(path: &str) -> (ServiceName, String) {
    let path = path.trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    (ServiceName::from(service), format!("/{rest}"))
}

fn stream_response(id: RequestId, from: usize, rx: mpsc::Receiver<AnswerEvent>) -> Response<Body> {
    sse_response(sse_body(SseWriter::new(id, from), rx))
}

fn sse_response(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Waits until the answer is complete, and returns it as one response.
async fn full_response(id: RequestId, mut rx: mpsc::Receiver<AnswerEvent>) -> Response<Body> {
    let mut answer = String::new();
    let mut spec = None;
    while let Some(event) = rx.recv().await {
        match event {
            AnswerEvent::Spec(s) => spec = Some(s),
            AnswerEvent::Tokens { tokens, .. } => answer.extend(tokens.iter().map(|t| &**t)),
            AnswerEvent::Ending(Ending::Whole { total }) => {
                return completion_response(id, spec.as_deref(), &answer, total);
            }
            AnswerEvent::Ending(Ending::Plain(plain)) => return plain_response(plain),
            AnswerEvent::Ending(Ending::Failed(f)) => {
                return problem_response(status_of(f.outcome), &f, Some(id));
            }
            AnswerEvent::Reattach => return redirect_to_another_box(id),
            AnswerEvent::NotFound => break,
        }
    }
    let failure = Failure::new(Outcome::MayHaveRun, "the answer was lost", 0);
    problem_response(502, &failure, Some(id))
}

fn completion_response(
    id: RequestId,
    spec: Option<&RequestSpec>,
    answer: &str,
    total: usize,
) -> Response<Body> {
    let chat = spec.and_then(RequestSpec::model).is_some_and(|w| w.chat);
    let mut choice = value!({ "index": 0, "finish_reason": "stop" });
    if chat {
        choice["message"] = value!({ "role": "assistant", "content": answer });
    } else {
        choice["text"] = value!(answer);
    }
    let object = if chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    let doc = value!({
        "id": id.to_string(),
        "object": object,
        "model": spec.map(|s| s.service.to_string()),
        "choices": [choice],
        "saddlepulley": {
            "total_tokens": total,
            "sha256": hex::encode(Sha256::digest(answer)),
        },
    });
    json(StatusCode::OK, &doc)
}

fn plain_response(plain: PlainAnswer) -> Response<Body> {
    let mut response = Response::new(full(plain.body));
    *response.status_mut() = StatusCode::from_u16(plain.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(kind) = HeaderValue::from_str(&plain.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    response
}

/// Redirects the caller to the request's path, as this box is leaving: another box continues
/// the request and serves its answer. The connection is closed so that the caller opens a new
/// one there.
fn redirect_to_another_box(id: RequestId) -> Response<Body> {
    let mut response = text(StatusCode::TEMPORARY_REDIRECT, "go on at another box\n");
    *response.status_mut() = StatusCode::SEE_OTHER;
    if let Ok(at) = HeaderValue::from_str(&format!("/v1/requests/{id}")) {
        response.headers_mut().insert(header::LOCATION, at);
    }
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn add_acceptance_headers(response: &mut Response<Body>, accepted: &Accepted) {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&accepted.id.to_string()) {
        headers.insert("saddlepulley-request", id);
    }
    if let Some(durability) = accepted.durability {
        let value = HeaderValue::from_static(durability.as_str());
        headers.insert("saddlepulley-durability", value);
    }
}
