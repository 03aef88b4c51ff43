use {
    super::{Delivery, DutyCall, PacedBody, Topics},
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{
        collections::HashMap, convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::AbortHandle},
};

type StoreResponse = Response<Bytes>;

#[derive(Debug)]
struct Shared {
    topics: Mutex<Topics>,
    changed: watch::Sender<u64>,
    calls: Mutex<Vec<DutyCall>>,
    down: Mutex<bool>,
    /// While true, calls get no answer, including those in progress.
    silent: watch::Sender<bool>,
    delivery: Mutex<Delivery>,
    /// Newest epoch and sequence number, by `topic/producer`.
    producers: Mutex<HashMap<String, (u64, u64)>>,
    /// Number of listings of each keyed topic.
    listings: Mutex<HashMap<String, u64>>,
    /// Number of reads received for each topic.
    reads: watch::Sender<HashMap<String, u64>>,
}

/// A store, which stops when dropped.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns the error of listening.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            topics: Mutex::default(),
            changed: watch::Sender::new(0),
            calls: Mutex::default(),
            down: Mutex::new(false),
            silent: watch::Sender::new(false),
            reads: watch::Sender::default(),
            delivery: Mutex::default(),
            producers: Mutex::default(),
            listings: Mutex::default(),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            shared,
            address,
            task: task.abort_handle(),
        })
    }

    /// Returns the address of both the store and the API for duties.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes the value of a key to a keyed topic.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let value = value.to_string();
        self.shared.topics.lock().put(topic, key, value.as_bytes());
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Writes a record of a keyed topic with arbitrary bytes as key and value.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key);
        record.extend_from_slice(value);
        self.append(topic, &record);
    }

    /// Appends arbitrary bytes to a topic.
    pub fn append(&self, topic: &str, record: &[u8]) {
        self.shared.topics.lock().append(topic, record);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Returns all values written for a key of a keyed topic, in order.
    pub fn values(&self, topic: &str, key: &str) -> Vec<Value> {
        let topics = self.shared.topics.lock();
        let mine = topics.read(topic, 0).iter().filter_map(|record| {
            let value = record.get(1..)?.strip_prefix(key.as_bytes())?;
            serde_json::from_slice(value).ok()
        });
        mine.collect()
    }

    /// Returns the keys of a keyed topic that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let newest = self.shared.topics.lock().newest(topic);
        let kept = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty());
        kept.map(|(key, _)| key).collect()
    }

    /// Deletes a key of a keyed topic by an empty value.
    pub fn drop_key(&self, topic: &str, key: &str) {
        self.shared.topics.lock().put(topic, key, &[]);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Answers every call with status 503 while `down` is true.
    pub fn set_down(&self, down: bool) {
        *self.shared.down.lock() = down;
    }

    /// Leaves all calls without an answer while `silent` is true, including those in
    /// progress. Connections stay open; a call affected never gets an answer, even later.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.send_replace(silent);
    }

    /// Waits until another read of a topic is received.
    pub async fn next_read(&self, topic: &str) {
        let count = |reads: &HashMap<String, u64>| reads.get(topic).copied().unwrap_or(0);
        let mut reads = self.shared.reads.subscribe();
        let before = count(&reads.borrow());
        // The sender lives as long as this store.
        let _ = reads.wait_for(|reads| count(reads) > before).await;
    }

    /// Sets how the bodies of later answers are delivered.
    pub fn set_delivery(&self, delivery: Delivery) {
        *self.shared.delivery.lock() = delivery;
    }

    /// Returns the number of listings of a keyed topic.
    pub fn listings(&self, topic: &str) -> u64 {
        self.shared.listings.lock().get(topic).copied().unwrap_or(0)
    }

    /// Returns the accepted calls to the API for duties.
    pub fn duty_calls(&self) -> Vec<DutyCall> {
        self.shared.calls.lock().clone()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| paced_response(request, shared.clone()));
            // Errors of clients that disconnect are ignored.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn paced_response(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<PacedBody>, Infallible> {
    record_read(&request, &shared);
    let answer = tokio::select! {
        biased;
        () = wait_until_silent(&shared) => std::future::pending().await,
        answer = respond(request, &shared) => answer,
    };
    let delivery = *shared.delivery.lock();
    Ok(answer.map(|bytes| PacedBody::new(bytes, delivery)))
}

fn record_read(request: &Request<Incoming>, shared: &Shared) {
    if request.uri().path() == "/log-read" {
        let topic = topic(&parse_query(request.uri())).to_string();
        shared
            .reads
            .send_modify(|reads| *reads.entry(topic).or_default() += 1);
    }
}

async fn wait_until_silent(shared: &Shared) {
    let mut silent = shared.silent.subscribe();
    // The sender lives as long as the store.
    let _ = silent.wait_for(|silent| *silent).await;
}

fn parse_query(uri: &hyper::Uri) -> HashMap<String, String> {
    uri.query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .collect()
}

async fn respond(request: Request<Incoming>, shared: &Shared) -> StoreResponse {
    if *shared.down.lock() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let query = parse_query(&head.uri);
    match head.uri.path() {
        "/log-append" => append(shared, &query, &body),
        "/log-read" => read(shared, &query).await,
        "/log-newest" => newest(shared, &query),
        "/usage" => duty(shared, "usage", &head.headers, &body),
        "/scale" => duty(shared, "scale", &head.headers, &body),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> StoreResponse {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}

fn json_response(code: StatusCode, value: &Value) -> StoreResponse {
    let mut answer = Response::new(Bytes::from(value.to_string()));
    *answer.status_mut() = code;
    answer
}

fn number(query: &HashMap<String, String>, key: &str) -> Option<u64> {
    query.get(key)?.parse().ok()
}

fn topic(query: &HashMap<String, String>) -> &str {
    query.get("topic").map_or("", String::as_str)
}

fn append(shared: &Shared, query: &HashMap<String, String>, body: &Bytes) -> StoreResponse {
    let mut topics = shared.topics.lock();
    let end = topics.end(topic(query));
    if let Some(answer) = check_producer(shared, query) {
        return answer;
    }
    if number(query, "at").is_some_and(|at| at != end) {
        return json_response(StatusCode::PRECONDITION_FAILED, &json!({ "end": end }));
    }
    let mut at = 0;
    while at + 4 <= body.len() {
        let length = body[at..at + 4]
            .iter()
            .fold(0, |n, b| (n << 8) | usize::from(*b));
        let Some(record) = body.get(at + 4..at + 4 + length) else {
            return status(StatusCode::BAD_REQUEST);
        };
        topics.append(topic(query), record);
        at += 4 + length;
    }
    let new_end = topics.end(topic(query));
    shared.changed.send_modify(|n| *n += 1);
    json_response(StatusCode::OK, &json!({ "offset": end, "end": new_end }))
}

/// Checks the epoch and sequence number of a producer's append. Returns a refusal for an
/// outdated epoch or a sequence number out of order, and success without a new append for
/// one that was accepted before.
fn check_producer(shared: &Shared, query: &HashMap<String, String>) -> Option<StoreResponse> {
    let producer = query.get("producer")?;
    let (epoch, sequence) = (number(query, "epoch")?, number(query, "sequence")?);
    let mut producers = shared.producers.lock();
    let key = format!("{}/{producer}", topic(query));
    let (last_epoch, last) = producers.get(&key).copied().unwrap_or((0, 0));
    if epoch < last_epoch {
        let fenced = json!({ "reason": "fenced" });
        return Some(json_response(StatusCode::CONFLICT, &fenced));
    }
    if epoch == last_epoch && sequence <= last {
        return Some(json_response(StatusCode::OK, &json!({})));
    }
    if epoch == last_epoch && sequence != last + 1 {
        let wanted = json!({ "reason": "seq", "sequence": last + 1 });
        return Some(json_response(StatusCode::CONFLICT, &wanted));
    }
    producers.insert(key, (epoch, sequence));
    None
}

async fn read(shared: &Shared, query: &HashMap<String, String>) -> StoreResponse {
    let from = number(query, "source").unwrap_or(0);
    let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
    let mut changed = shared.changed.subscribe();
    let has_records = |_: &u64| shared.topics.lock().end(topic(query)) > from;
    // If no record is appended in time, the answer holds none.
    let _ = tokio::time::timeout(wait, changed.wait_for(has_records)).await;
    let topics = shared.topics.lock();
    let mut bytes = topics.end(topic(query)).to_be_bytes().to_vec();
    bytes.extend_from_slice(&0_u64.to_be_bytes());
    for record in topics.read(topic(query), from) {
        bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
        bytes.extend_from_slice(record);
    }
    Response::new(Bytes::from(bytes))
}

fn newest(shared: &Shared, query: &HashMap<String, String>) -> StoreResponse {
    let listed = topic(query).to_string();
    *shared.listings.lock().entry(listed).or_default() += 1;
    let topics = shared.topics.lock();
    let newest = topics.newest(topic(query));
    let entries: Vec<Value> = newest
        .iter()
        .map(|(key, (offset, value))| {
            json!({ "key_file": key, "data": STANDARD.encode(value), "offset": offset })
        })
        .collect();
    let end = topics.end(topic(query));
    json_response(
        StatusCode::OK,
        &json!({ "entries": entries, "more": false, "end": end }),
    )
}

fn duty(shared: &Shared, duty: &str, headers: &hyper::HeaderMap, body: &Bytes) -> StoreResponse {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
    };
    let Ok(body) = serde_json::from_slice(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    shared.calls.lock().push(DutyCall {
        duty: duty.to_string(),
        holder: text("x-lease-holder").to_string(),
        fence: text("x-fencing-token").parse().unwrap_or(0),
        body,
    });
    status(StatusCode::OK)
}
