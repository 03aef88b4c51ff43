use {
    super::*,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// A longer gap between two tokens counts as slow.
const MAX_TOKEN_GAP: Duration = Duration::from_millis(46);
/// Share of slow gaps among a request's tokens up to which it is on target.
const MAX_SLOW_GAP_SHARE: f64 = 0.05;
/// Longest wait for the answer to a request without a deadline.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(60);
/// Bound of the connections over which one answer is read.
const MAX_REATTACHES: u32 = 60;

type Http = Client<HttpConnector, Full<Bytes>>;

/// Sends a workload to the boxes in round-robin order and waits for all answers.
pub async fn run(workload: &Workload, boxes: &[SocketAddr]) -> Vec<Sample> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Http = Client::builder(TokioExecutor::new()).build(connector);
    let streams = Arc::new(workload.streams.clone());
    let boxes: Arc<[SocketAddr]> = boxes.into();
    let start = Instant::now();
    let mut set = JoinSet::new();
    for (n, due) in workload.schedule().into_iter().enumerate() {
        let at = start + Duration::from_micros(due.at_us);
        tokio::time::sleep_until(at.into()).await;
        let call = Call {
            client: client.clone(),
            boxes: boxes.clone(),
            first: n,
            stream: streams[due.stream].clone(),
            due,
            // Latencies start at the scheduled time, even if the request is sent late.
            at,
            tokens: 0,
            slow_gaps: 0,
            first_us: None,
            last: None,
            id: String::new(),
        };
        set.spawn(call.execute());
    }
    set.join_all().await
}

struct Call {
    client: Http,
    boxes: Arc<[SocketAddr]>,
    first: usize,
    stream: Stream,
    due: DueRequest,
    at: Instant,
    tokens: u64,
    slow_gaps: u64,
    first_us: Option<u64>,
    last: Option<Instant>,
    id: String,
}

impl Call {
    async fn execute(mut self) -> Sample {
        let mut sends = 0;
        let outcome = loop {
            sends += 1;
            let max_wait = match self.stream.deadline_ms {
                0 => DEFAULT_MAX_WAIT,
                ms => Duration::from_millis(ms) + Duration::from_secs(2),
            };
            let answer = tokio::time::timeout(max_wait, self.send()).await;
            let outcome = answer.unwrap_or_else(|_| "lost".to_string());
            if outcome == "whole" || sends > self.stream.caller_retries {
                break outcome;
            }
            self.tokens = 0;
            self.slow_gaps = 0;
            self.last = None;
        };
        let first_ok = self
            .first_us
            .is_some_and(|us| us <= self.stream.first_ms * 1_000);
        let gaps_ok = self.slow_gaps as f64 <= self.tokens as f64 * MAX_SLOW_GAP_SHARE;
        Sample {
            due_us: self.due.at_us,
            stream: self.due.stream,
            first_us: self.first_us,
            total_us: self.at.elapsed().as_micros() as u64,
            tokens: self.tokens,
            slow_gaps: self.slow_gaps,
            on_target: outcome == "whole" && first_ok && gaps_ok,
            outcome,
            sends,
        }
    }

    async fn send(&mut self) -> String {
        let (path, body) = if self.stream.model {
            let request = json!({
                "model": self.stream.service,
                "prompt": self.due.prompt,
                "max_tokens": self.due.answer_tokens,
                "stream": true,
            });
            ("/v1/completions".to_string(), request.to_string())
        } else {
            (
                format!("/{}/call", self.stream.service),
                self.due.prompt.clone(),
            )
        };
        let Some(rep) = self.open(&path, &body).await else {
            return "lost".to_string();
        };
        let status = rep.status().as_u16();
        if status != 200 {
            return parse_outcome(rep.into_body()).await;
        }
        if !self.stream.model {
            let is_complete = rep.into_body().collect().await.is_ok();
            self.record_token();
            return if is_complete { "whole" } else { "lost" }.to_string();
        }
        let id = rep.headers().get("saddlepulley-request");
        self.id = id.and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        self.read_with_reattach(rep.into_body()).await
    }

    /// Sends to the first box that accepts connections, as a load balancer does.
    async fn open(&self, path: &str, body: &str) -> Option<Response<Incoming>> {
        for n in 0..self.boxes.len() {
            let at = self.boxes[(self.first + n) % self.boxes.len()];
            let mut req = Request::post(format!("http://{at}{path}"))
                .header("authorization", format!("Bearer {}", self.stream.token));
            if self.stream.deadline_ms > 0 {
                req = req.header("saddlepulley-deadline-ms", self.stream.deadline_ms);
            }
            let req = req.body(Full::new(Bytes::from(body.to_string()))).ok()?;
            match self.client.request(req).await {
                Ok(rep) => return Some(rep),
                Err(e) if e.is_connect() => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Reads the answer, and reattaches to it where the connection ends early.
    async fn read_with_reattach(&mut self, body: Incoming) -> String {
        if let Some(outcome) = self.read_events(body).await {
            return outcome;
        }
        for n in 1..MAX_REATTACHES {
            let at = self.boxes[(self.first + n as usize) % self.boxes.len()];
            let req = Request::get(format!("http://{at}/v1/requests/{}", self.id))
                .header("authorization", format!("Bearer {}", self.stream.token))
                .header("last-event-id", format!("{}:{}", self.id, self.tokens));
            let Ok(req) = req.body(Full::default()) else {
                break;
            };
            match self.client.request(req).await {
                Ok(rep) if rep.status() == 200 => {
                    if let Some(outcome) = self.read_events(rep.into_body()).await {
                        return outcome;
                    }
                }
                _ => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
        "lost".to_string()
    }

    /// Reads events up to the end of the answer and returns the outcome; `None` if the
    /// connection ended first.
    async fn read_events(&mut self, mut body: Incoming) -> Option<String> {
        let mut buf = String::new();
        while let Some(Ok(frame)) = body.frame().await {
            buf += std::str::from_utf8(&frame.into_data().unwrap_or_default()).unwrap_or("");
            while let Some(end) = buf.find("\n\n") {
                let event: String = buf.drain(..end + 2).collect();
                if let Some(outcome) = self.handle_event(&event) {
                    return outcome;
                }
            }
        }
        None
    }

    /// Returns `None` if the stream continues, `Some(None)` if the reader is to reattach, and
    /// the outcome at the end of the answer.
    fn handle_event(&mut self, event: &str) -> Option<Option<String>> {
        let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        let doc: Value = serde_json::from_str(field("data: ")?).unwrap_or_default();
        match field("event: ") {
            Some("reattach") => return Some(None),
            Some("error") => {
                let outcome = doc["outcome"].as_str().unwrap_or("lost");
                return Some(Some(outcome.to_string()));
            }
            _ => {}
        }
        if doc.get("saddlepulley").is_some() {
            return Some(Some("whole".to_string()));
        }
        let text = doc["choices"][0]["text"].as_str().unwrap_or("");
        for _ in text.split_whitespace() {
            self.record_token();
        }
        None
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last {
            None if self.first_us.is_none() => {
                self.first_us = Some(self.at.elapsed().as_micros() as u64);
            }
            Some(last) if now - last > MAX_TOKEN_GAP => self.slow_gaps += 1,
            _ => {}
        }
        self.last = Some(now);
        self.tokens += 1;
    }
}

async fn parse_outcome(body: Incoming) -> String {
    let bytes = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let doc: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    doc["outcome"].as_str().unwrap_or("lost").to_string()
}
