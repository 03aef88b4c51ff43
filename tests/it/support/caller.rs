use {
    super::TOKEN,
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as HyperClient, connect::HttpConnector},
        rt::TokioExecutor,
    },
    saddlepulley_standin::engine::expected_word,
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{net::SocketAddr, time::Duration},
};

/// A plain HTTP client that by default opens a new connection for each request.
pub mod test_client {
    use super::*;

    #[derive(Clone)]
    pub struct Client {
        client: HyperClient<HttpConnector, Full<Bytes>>,
    }

    pub struct Reply {
        pub status: u16,
        pub body: Bytes,
    }

    impl Default for Client {
        fn default() -> Self {
            let client = HyperClient::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build_http();
            Self { client }
        }
    }

    impl Client {
        /// Returns a client that reuses its connections.
        pub fn pooled() -> Self {
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            let client = HyperClient::builder(TokioExecutor::new()).build(connector);
            Self { client }
        }

        /// Sends a request and returns the response without reading its body.
        pub async fn open(
            &self,
            method: &str,
            at: SocketAddr,
            path: &str,
            headers: &[(&str, &str)],
            body: &str,
        ) -> Result<http::Response<Incoming>, String> {
            let mut req = Request::builder()
                .method(method)
                .uri(format!("http://{at}{path}"));
            for (name, value) in headers {
                req = req.header(*name, *value);
            }
            let req = req
                .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
                .unwrap();
            self.client.request(req).await.map_err(|e| format!("{e:?}"))
        }

        /// Sends a request and reads the full response.
        pub async fn send(
            &self,
            method: &str,
            at: SocketAddr,
            path: &str,
            headers: &[(&str, &str)],
            body: &str,
        ) -> Result<Reply, String> {
            let rep = self.open(method, at, path, headers, body).await?;
            let status = rep.status().as_u16();
            let body = rep
                .into_body()
                .collect()
                .await
                .map_err(|e| e.to_string())?
                .to_bytes();
            Ok(Reply { status, body })
        }
    }
}

/// How a streamed answer ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// The answer is complete: its length, digest and words are as expected.
    Complete,
    /// The daemon ended the accepted request with this outcome, or the caller gave up.
    Failed(String),
    /// The request was refused before it was accepted, with this status and outcome.
    Refused(u16, String),
}

/// What a caller received of one streamed answer, over all its connections.
#[derive(Clone, Debug)]
pub struct Transcript {
    pub id: String,
    pub text: String,
    pub tokens: usize,
    pub reattaches: usize,
    pub durability: String,
    pub end: CallerOutcome,
}

/// Sends a streamed completion request to the box `first` and reads the answer to its end. After
/// a lost connection or a `reattach` event it re-attaches at one box after another, as a
/// well-behaved caller does.
pub async fn stream_completion(
    boxes: &[SocketAddr],
    first: usize,
    prompt: &str,
    max_tokens: usize,
) -> Transcript {
    stream_completion_with(boxes, first, prompt, max_tokens, &[]).await
}

/// Like `stream_completion`, but returns `None` if the first box failed before it answered.
pub async fn try_stream_completion(
    boxes: &[SocketAddr],
    first: usize,
    prompt: &str,
    max_tokens: usize,
) -> Option<Transcript> {
    let stream = try_stream_completion_with(boxes, first, prompt, max_tokens, &[]);
    tokio::time::timeout(Duration::from_secs(90), stream)
        .await
        .expect("the stream ends within 90 s")
        .ok()
}

/// Like `stream_completion`, with further request headers.
pub async fn stream_completion_with(
    boxes: &[SocketAddr],
    first: usize,
    prompt: &str,
    max_tokens: usize,
    headers: &[(&str, &str)],
) -> Transcript {
    let transcript = try_stream_completion_with(boxes, first, prompt, max_tokens, headers).await;
    transcript.expect("the first box answers")
}

/// Implements `stream_completion`.
///
/// # Errors
///
/// Fails if the first box did not answer the request.
async fn try_stream_completion_with(
    boxes: &[SocketAddr],
    first: usize,
    prompt: &str,
    max_tokens: usize,
    headers: &[(&str, &str)],
) -> Result<Transcript, String> {
    let client = test_client::Client::default();
    let request =
        json!({ "model": "assistant", "prompt": prompt, "max_tokens": max_tokens, "stream": true });
    let bearer = super::bearer(TOKEN);
    let mut all_headers = vec![("authorization", bearer.as_str())];
    all_headers.extend(headers);
    let mut t = Transcript {
        id: String::new(),
        text: String::new(),
        tokens: 0,
        reattaches: 0,
        durability: String::new(),
        end: CallerOutcome::Complete,
    };
    let rep = client
        .open(
            "POST",
            boxes[first],
            "/v1/completions",
            &all_headers,
            &request.to_string(),
        )
        .await?;
    if rep.status() != 200 {
        let status = rep.status().as_u16();
        let body = rep.into_body().collect().await.unwrap().to_bytes();
        let doc: Value = serde_json::from_slice(&body).unwrap_or_default();
        t.end = CallerOutcome::Refused(status, doc["outcome"].as_str().unwrap_or("").to_string());
        return Ok(t);
    }
    let id = rep.headers()["saddlepulley-request"].to_str();
    t.id = id.unwrap().to_string();
    t.durability = rep
        .headers()
        .get("saddlepulley-durability")
        .map_or(String::new(), |v| v.to_str().unwrap().to_string());
    let mut at = first;
    let mut reader = Some(rep.into_body());
    for _ in 0..200 {
        if let Some(body) = reader.take()
            && let Some(end) = read_events(body, &mut t, prompt, max_tokens).await
        {
            t.end = end;
            return Ok(t);
        }
        at = (at + 1) % boxes.len();
        t.reattaches += 1;
        let last = format!("{}:{}", t.id, t.tokens);
        let path = format!("/v1/requests/{}", t.id);
        let headers = [
            ("authorization", bearer.as_str()),
            ("last-event-id", last.as_str()),
        ];
        let opened = client.open("GET", boxes[at], &path, &headers, "");
        match tokio::time::timeout(Duration::from_secs(20), opened).await {
            Ok(Ok(rep)) if rep.status() == 200 => reader = Some(rep.into_body()),
            Ok(Ok(rep)) if rep.status() != 404 => {
                let body = rep.into_body().collect().await.unwrap().to_bytes();
                let doc: Value = serde_json::from_slice(&body).unwrap_or_default();
                t.end = CallerOutcome::Failed(doc["outcome"].as_str().unwrap_or("").to_string());
                return Ok(t);
            }
            _ => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
    t.end = CallerOutcome::Failed("stream not complete after 200 re-attaches".to_string());
    Ok(t)
}

/// Reads events until the connection ends. Returns the outcome of the answer, or `None` if the
/// caller has to re-attach.
async fn read_events(
    mut body: Incoming,
    t: &mut Transcript,
    prompt: &str,
    max_tokens: usize,
) -> Option<CallerOutcome> {
    let mut buf = String::new();
    loop {
        let frame = tokio::time::timeout(Duration::from_secs(30), body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else {
            return None;
        };
        buf += std::str::from_utf8(&frame.into_data().unwrap_or_default()).unwrap();
        while let Some(end) = buf.find("\n\n") {
            let event: String = buf.drain(..end + 2).collect();
            if let Some(end) = apply_event(&event, t, prompt, max_tokens) {
                return end;
            }
        }
    }
}

/// Applies one event to the transcript. Returns `None` if more events follow, `Some(None)` if the
/// caller has to re-attach, and otherwise the outcome of the answer.
fn apply_event(
    event: &str,
    t: &mut Transcript,
    prompt: &str,
    max_tokens: usize,
) -> Option<Option<CallerOutcome>> {
    let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
    let data = field("data: ").unwrap_or("");
    if data == "[DONE]" {
        return None;
    }
    let doc: Value = serde_json::from_str(data).unwrap();
    match field("event: ") {
        Some("reattach") => return Some(None),
        Some("error") => {
            let outcome = doc["outcome"].as_str().unwrap_or("").to_string();
            return Some(Some(CallerOutcome::Failed(outcome)));
        }
        _ => {}
    }
    if let Some(end) = doc.get("saddlepulley") {
        assert_eq!(end["total_tokens"], json!(max_tokens), "{}", t.id);
        assert_eq!(t.tokens, max_tokens, "{}: tokens are missing", t.id);
        if let Some(digest) = end["sha256"].as_str() {
            assert_eq!(digest, hex::encode(Sha256::digest(&t.text)), "{}", t.id);
        }
        check_words(t, prompt, max_tokens);
        return Some(Some(CallerOutcome::Complete));
    }
    let text = doc["choices"][0]["text"].as_str().unwrap_or("");
    let offset: usize = field("id: ")
        .unwrap()
        .rsplit(':')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let n = text.split_whitespace().count();
    assert_eq!(offset, t.tokens + n, "{}: a gap or an overlap", t.id);
    t.tokens = offset;
    t.text += text;
    None
}

/// Compares the answer with the one expected for its prompt. The engine's name, which a salted
/// engine appends after `@`, is not compared: it changes when the answer moves to another engine.
fn check_words(t: &Transcript, prompt: &str, max_tokens: usize) {
    let words: Vec<&str> = t.text.split_whitespace().collect();
    assert_eq!(words.len(), max_tokens);
    for (i, word) in words.iter().enumerate() {
        let word = word.split('@').next().unwrap();
        assert_eq!(word, expected_word(prompt, i), "{}: token {i}", t.id);
    }
}

/// Sends a call that must not be repeated to the plain service `codes`; returns status and body.
pub async fn call_codes(at: SocketAddr, key: &str, body: &str) -> Result<(u16, Value), String> {
    let client = test_client::Client::default();
    let bearer = super::bearer(TOKEN);
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key),
        ("saddlepulley-repeatable", "no"),
    ];
    let call = client.send("POST", at, "/codes/issue", &headers, body);
    let rep = tokio::time::timeout(Duration::from_secs(40), call)
        .await
        .map_err(|_| "timeout".to_string())??;
    Ok((
        rep.status,
        serde_json::from_slice(&rep.body).unwrap_or_default(),
    ))
}
