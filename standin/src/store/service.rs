use {
    super::{
        Delivery, DutyCall, NumberCheck, PacedBody, Producers, Topics, Writer, topics::keyed_record,
    },
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
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, task::AbortHandle},
};

type StoreResponse = Response<Bytes>;

/// Header of all answers: a number that rises each time the store returns from an older copy.
const ERA: &str = "store-era";
/// The era of a store that has never been restored.
const FIRST_ERA: u64 = 4;

#[derive(Debug)]
struct Shared {
    topics: Mutex<Topics>,
    changed: watch::Sender<u64>,
    calls: Mutex<Vec<DutyCall>>,
    down: Mutex<bool>,
    /// While true, calls get no answer, including those in progress.
    silent: watch::Sender<bool>,
    /// While true, connections are closed instead of answered, including those of calls in
    /// progress.
    away: watch::Sender<bool>,
    /// The era that answers name; none if they name no era.
    era: Mutex<Option<u64>>,
    /// Number of calls answered with status 410.
    gone: AtomicU64,
    delivery: Mutex<Delivery>,
    /// Newest epoch and sequence number, by `topic/producer`.
    producers: Mutex<Producers>,
    /// Number of listings of each keyed topic.
    listings: Mutex<HashMap<String, u64>>,
    /// Number of reads received for each topic.
    reads: watch::Sender<HashMap<String, u64>>,
    /// How calls on some topics are answered.
    faults: Mutex<HashMap<String, TopicFault>>,
}

/// A fault of a single topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopicFault {
    /// Each call is answered with status 503.
    Down,
    /// Each call is answered that much later.
    Slow(Duration),
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
            away: watch::Sender::new(false),
            era: Mutex::new(Some(FIRST_ERA)),
            gone: AtomicU64::new(0),
            reads: watch::Sender::default(),
            delivery: Mutex::default(),
            producers: Mutex::default(),
            listings: Mutex::default(),
            faults: Mutex::default(),
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
        self.put_bytes(topic, key.as_bytes(), value.to_string().as_bytes());
    }

    /// Writes a record of a keyed topic with arbitrary bytes as key and value.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        self.append(topic, &keyed_record(key, value));
    }

    /// Appends arbitrary bytes to a topic, as the operator or an upstream.
    pub fn append(&self, topic: &str, record: &[u8]) {
        let mut topics = self.shared.topics.lock();
        topics.append(topic, record, Writer::Outside);
        drop(topics);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Returns all values written for a key of a keyed topic, in order.
    pub fn values(&self, topic: &str, key: &str) -> Vec<Value> {
        let topics = self.shared.topics.lock();
        let mine = topics.read(topic, 0).filter_map(|record| {
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
        self.put_bytes(topic, key.as_bytes(), &[]);
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

    /// Closes all connections instead of answering while `away` is true, including those of
    /// calls in progress.
    pub fn set_away(&self, away: bool) {
        self.shared.away.send_replace(away);
    }

    /// Sets the fault of a topic, or ends it.
    pub fn set_topic_fault(&self, topic: &str, fault: Option<TopicFault>) {
        let mut faults = self.shared.faults.lock();
        match fault {
            Some(fault) => faults.insert(topic.to_string(), fault),
            None => faults.remove(topic),
        };
    }

    /// Names no era until the first restore.
    pub fn hide_first_era(&self) {
        *self.shared.era.lock() = None;
    }

    /// Returns from a copy that is `age` old: topics and producers go back to the state of
    /// that time, offsets are given out again, and the era rises by one. Returns what the
    /// operator and the upstreams have written since; [`Store::write_again`] writes it again.
    pub fn restore(&self, age: Duration) -> Vec<(String, Vec<u8>)> {
        let state_of = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
        let lost = self.shared.topics.lock().restore(state_of);
        self.shared.producers.lock().restore(state_of);
        let mut era = self.shared.era.lock();
        *era = Some(era.map_or(FIRST_ERA, |era| era + 1));
        drop(era);
        self.shared.changed.send_modify(|n| *n += 1);
        lost
    }

    /// Writes records again that a restore has lost.
    pub fn write_again(&self, lost: Vec<(String, Vec<u8>)>) {
        for (topic, record) in lost {
            self.append(&topic, &record);
        }
    }

    /// Is away for a moment and returns from a copy that is `age` old when the store leaves.
    /// What the operator and the upstreams had written since is written again `rewrite_after`
    /// later, except for keys that they have written or deleted by then: an upstream that left
    /// does not write its entry again.
    pub async fn drill(&self, age: Duration, away: Duration, rewrite_after: Duration) {
        self.set_away(true);
        tokio::time::sleep(away).await;
        let mut lost = self.restore(age + away);
        let returned = Instant::now();
        self.set_away(false);
        tokio::time::sleep(rewrite_after).await;
        let topics = self.shared.topics.lock();
        lost.retain(|(topic, record)| !topics.has_newer(topic, record, returned));
        drop(topics);
        self.write_again(lost);
    }

    /// Returns the number of calls answered with status 410.
    pub fn gone_answers(&self) -> u64 {
        self.shared.gone.load(Ordering::Relaxed)
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
            // Errors of clients that disconnect, and of an away store, are ignored.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn paced_response(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<PacedBody>, io::Error> {
    record_read(&request, &shared);
    let mut answer = tokio::select! {
        biased;
        () = wait_until(&shared.silent) => std::future::pending().await,
        () = wait_until(&shared.away) => return Err(io::ErrorKind::ConnectionReset.into()),
        answer = respond(request, &shared) => answer,
    };
    if let Some(era) = *shared.era.lock() {
        answer.headers_mut().insert(ERA, era.into());
    }
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

async fn wait_until(state: &watch::Sender<bool>) {
    let mut state = state.subscribe();
    // The sender lives as long as the store.
    let _ = state.wait_for(|is_set| *is_set).await;
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
    let fault = shared.faults.lock().get(topic(&query)).copied();
    match fault {
        Some(TopicFault::Down) => return status(StatusCode::SERVICE_UNAVAILABLE),
        Some(TopicFault::Slow(delay)) => tokio::time::sleep(delay).await,
        None => {}
    }
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
        topics.append(topic(query), record, Writer::Daemon);
        at += 4 + length;
    }
    let new_end = topics.end(topic(query));
    // Waiting reads lock the topics while they hold the counter.
    drop(topics);
    shared.changed.send_modify(|n| *n += 1);
    json_response(StatusCode::OK, &json!({ "offset": end, "end": new_end }))
}

/// Checks the epoch and sequence number of a producer's append. Returns a refusal for an
/// outdated epoch or a sequence number out of order, and success without a new append for
/// one that was accepted before.
fn check_producer(shared: &Shared, query: &HashMap<String, String>) -> Option<StoreResponse> {
    let producer = query.get("producer")?;
    let (epoch, sequence) = (number(query, "epoch")?, number(query, "sequence")?);
    let key = format!("{}/{producer}", topic(query));
    match shared.producers.lock().check(key, epoch, sequence) {
        NumberCheck::Next => None,
        NumberCheck::Repeated => Some(json_response(StatusCode::OK, &json!({}))),
        NumberCheck::Fenced => {
            let fenced = json!({ "reason": "fenced" });
            Some(json_response(StatusCode::CONFLICT, &fenced))
        }
        NumberCheck::OutOfOrder(expected) => {
            let wanted = json!({ "reason": "seq", "sequence": expected });
            Some(json_response(StatusCode::CONFLICT, &wanted))
        }
    }
}

async fn read(shared: &Shared, query: &HashMap<String, String>) -> StoreResponse {
    let from = number(query, "source").unwrap_or(0);
    let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
    let mut changed = shared.changed.subscribe();
    let has_records = |_: &u64| shared.topics.lock().end(topic(query)) != from;
    // If no record is appended in time, the answer holds none.
    let _ = tokio::time::timeout(wait, changed.wait_for(has_records)).await;
    let topics = shared.topics.lock();
    if from > topics.end(topic(query)) {
        shared.gone.fetch_add(1, Ordering::Relaxed);
        return json_response(StatusCode::GONE, &json!({ "first": 0 }));
    }
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
