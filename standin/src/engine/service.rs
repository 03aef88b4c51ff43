use {
    super::*,
    crate::{http::*, platform::now_ms},
    bytes::Bytes,
    futures_util::StreamExt,
    http_body_util::{BodyExt, Full, StreamBody},
    hyper::{Method, Request, Response, StatusCode, body::Frame},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    parking_lot::Mutex,
    serde_json::json as value,
    std::{
        collections::VecDeque,
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
    uuid::Uuid,
};

/// Queue length from which on further requests are refused with status 429.
const MAX_WAITING: usize = 512;

/// A model engine's stand-in.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineConfig,
    faults: Faults,
    batch: Mutex<Batch>,
    reports: Mutex<VecDeque<Load>>,
    highest_fence: Mutex<u64>,
    model: Mutex<String>,
    orders: Mutex<u64>,
    work: Notify,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Engine {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr, cfg: EngineConfig) -> io::Result<ServerHandle> {
        let engine = Arc::new(Self {
            model: Mutex::new(cfg.model.clone()),
            orders: Mutex::default(),
            cfg,
            faults: Faults::default(),
            batch: Mutex::default(),
            reports: Mutex::default(),
            highest_fence: Mutex::default(),
            work: Notify::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        });
        tokio::spawn(run(Arc::downgrade(&engine)));
        serve(addr, engine).await
    }

    async fn dispatch(&self, req: Request<Bytes>) -> Response<Body> {
        let path = req.uri().path().to_string();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "completions"]) => self.complete(req.body()),
            (&Method::POST, ["v1", "cancel", id]) => self.cancel(id),
            (&Method::GET, ["v1", "load"]) => json(StatusCode::OK, &self.lagging_load()),
            (&Method::GET, ["v1", "cache_events"]) => self.cache_events(&req),
            (&Method::POST, ["v1", "kv", "export", id]) => self.export(id),
            (&Method::POST, ["v1", "kv", "import"]) => self.import(req.body()).await,
            (&Method::POST, ["v1", "orders"]) => self.order(req.body()),
            (&Method::GET, ["control", "counts"]) => self.counts(),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn complete(&self, body: &Bytes) -> Response<Body> {
        let request = match serde_json::from_slice::<CompletionRequest>(body) {
            Ok(request) => request,
            Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        let (tx, rx) = mpsc::unbounded_channel();
        {
            let mut batch = self.batch.lock();
            if batch.waiting.len() >= MAX_WAITING {
                return not_started(StatusCode::TOO_MANY_REQUESTS);
            }
            batch.add(&self.cfg, &request, tx);
        }
        self.work.notify_one();
        event_stream(rx)
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let Ok(id) = Uuid::parse_str(id) else {
            return text(StatusCode::BAD_REQUEST, "expected a UUID\n");
        };
        self.batch.lock().cancel(id);
        text(StatusCode::OK, "ok\n")
    }

    fn cache_events(&self, req: &Request<Bytes>) -> Response<Body> {
        let query = req.uri().query().unwrap_or("");
        let from = query
            .strip_prefix("from=")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let cfg = &self.cfg;
        let batch = self.batch.lock();
        let events = batch
            .cache
            .events(from, now_ms(), cfg.events_lag_ms, cfg.events_gap);
        json(StatusCode::OK, &value!({ "events": events }))
    }

    fn export(&self, id: &str) -> Response<Body> {
        let batch = self.batch.lock();
        let Some(seq) = Uuid::parse_str(id).ok().and_then(|id| batch.find(id)) else {
            return text(StatusCode::NOT_FOUND, "no such request\n");
        };
        let all = prompt_tokens(&seq.prompt) + seq.next();
        let tokens = all - seq.prefill_remaining.max(0.0) as usize;
        let exported = KvExport {
            request_id: seq.id,
            tokens,
            bytes: tokens as u64 * self.cfg.kv_bytes_per_token,
        };
        json(StatusCode::OK, &exported)
    }

    async fn import(&self, body: &Bytes) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<ImportRequest>(body) else {
            return text(StatusCode::BAD_REQUEST, "expected request_id and from\n");
        };
        let Some(exported) = self.fetch_export(&request).await else {
            return text(StatusCode::BAD_GATEWAY, "the exporter didn't answer\n");
        };
        let ms = exported.bytes as f64 / self.cfg.kv_bytes_per_ms.max(1.0);
        tokio::time::sleep(Duration::from_micros((ms * 1_000.0) as u64)).await;
        // The transfer counts as interrupted if the exporter is gone at its end.
        if self.fetch_export(&request).await.is_none() {
            return text(StatusCode::BAD_GATEWAY, "the exporter left\n");
        }
        let mut batch = self.batch.lock();
        batch.imported.insert(request.request_id, exported.tokens);
        json(StatusCode::OK, &exported)
    }

    async fn fetch_export(&self, request: &ImportRequest) -> Option<KvExport> {
        let uri = format!(
            "http://{}/v1/kv/export/{}",
            request.from, request.request_id
        );
        let req = Request::post(uri).body(Full::default()).ok()?;
        let rep = self.client.request(req).await.ok()?;
        let body = rep.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    fn order(&self, body: &Bytes) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            return text(StatusCode::BAD_REQUEST, "expected an order\n");
        };
        let mut highest = self.highest_fence.lock();
        if order.fence < *highest {
            return text(StatusCode::CONFLICT, "an older fencing token\n");
        }
        *highest = order.fence;
        *self.orders.lock() += 1;
        *self.model.lock() = order.value;
        text(StatusCode::OK, "ok\n")
    }

    fn counts(&self) -> Response<Body> {
        let batch = self.batch.lock();
        let counts = value!({
            "started": batch.started,
            "last_started_ms": batch.last_started_ms,
            "busy_ms": batch.busy_ms,
            "computed_tokens": batch.computed_tokens,
            "running": batch.running.len(),
            "waiting": batch.waiting.len(),
            "model": *self.model.lock(),
            "orders": *self.orders.lock(),
        });
        json(StatusCode::OK, &counts)
    }

    fn load(&self) -> Load {
        let batch = self.batch.lock();
        Load {
            slots: self.cfg.slots,
            running: batch.running.len() as u32,
            waiting: batch.waiting.len() as u32,
            prefill_tokens_per_s: self.cfg.prefill_tokens_per_s,
            step_ms: self.cfg.step_ms,
            step_ms_per_request: self.cfg.step_ms_per_request,
            model: self.model.lock().clone(),
            as_of_ms: now_ms(),
        }
    }

    /// Returns the newest load that is at least `load_lag_ms` old, or the oldest one.
    fn lagging_load(&self) -> Load {
        let now = now_ms();
        let mut reports = self.reports.lock();
        reports.push_back(self.load());
        let old_enough = |l: &Load| l.as_of_ms + self.cfg.load_lag_ms <= now;
        while reports.len() > 1 && reports.get(1).is_some_and(old_enough) {
            reports.pop_front();
        }
        reports.front().cloned().unwrap_or_default()
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, req: Request<Bytes>) -> ResponseFuture {
        Box::pin(async move { self.dispatch(req).await })
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }
}

/// Steps the batch until the engine is dropped.
async fn run(engine: Weak<Engine>) {
    let mut due = tokio::time::Instant::now();
    loop {
        let Some(engine) = engine.upgrade() else {
            return;
        };
        let step_ms = {
            let mut batch = engine.batch.lock();
            if batch.is_idle() {
                None
            } else {
                Some(batch.step(&engine.cfg, now_ms()))
            }
        };
        let now = tokio::time::Instant::now();
        match step_ms {
            Some(ms) => {
                due = due.max(now - Duration::from_millis(50))
                    + Duration::from_micros((ms * 1_000.0) as u64);
                tokio::time::sleep_until(due).await;
            }
            None => {
                let idle = Duration::from_millis(100);
                let _ = tokio::time::timeout(idle, engine.work.notified()).await;
                due = tokio::time::Instant::now();
            }
        }
    }
}

/// Sends the frames as server-sent events up to the one with `total`.
fn event_stream(rx: mpsc::UnboundedReceiver<CompletionFrame>) -> Response<Body> {
    let frames = futures_util::stream::unfold((rx, false), |(mut rx, done)| async move {
        if done {
            return None;
        }
        let frame = rx.recv().await?;
        let done = frame.total.is_some();
        let mut line = b"data: ".to_vec();
        serde_json::to_writer(&mut line, &frame).ok()?;
        line.extend_from_slice(b"\n\n");
        Some((Bytes::from(line), (rx, done)))
    });
    let body = StreamBody::new(frames.map(|b| Ok::<_, Infallible>(Frame::data(b))));
    let mut rep = Response::new(BodyExt::boxed(body));
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    rep.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    rep
}
