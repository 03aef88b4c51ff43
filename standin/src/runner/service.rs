use {
    super::{Behaviour, Capacity, CrashingPart, Occupancy, PROMPT_PARTS, STREAM_PAUSE, take_slot},
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::{HeaderValue, RETRY_AFTER},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, watch},
        task::AbortHandle,
    },
};

/// Time before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// A request whose body begins with these bytes crashes the runner.
const CRASH_PREFIX: &[u8] = b"crash";
/// Time from the start of such a request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Prompt tokens that [`Behaviour::ReadPrompts`] reads in a millisecond.
const TOKENS_PER_MS: f64 = 10.0;
/// Time from a crash to the restart of the runner.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);

/// The header that states the number of prompt tokens and the number of output tokens.
const TOKEN_COUNT: &str = "saddlepulley-token-count";

type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A request received by a runner.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Value of the header `saddlepulley-attempt`.
    pub attempt: String,
    /// Request target: path and query.
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When the request was received.
    pub at: Instant,
}

#[derive(Debug)]
struct Shared {
    id: String,
    behaviour: Mutex<Behaviour>,
    events: u64,
    runs: Mutex<Vec<ReceivedRequest>>,
    /// Number of streams dropped before their end, by the client or by a crash.
    abandoned: Mutex<u64>,
    /// Number of requests that were not started.
    refusals: Mutex<u64>,
    /// Number of crashes and restarts; a change ends the present connections.
    crashes: watch::Sender<u64>,
    /// Requests refused by `Behaviour::Refuse`; misdirected ones are not among them.
    refused_requests: Mutex<Vec<ReceivedRequest>>,
    /// Value of `saddlepulley-limit` in each answer: the requests a second that the runner accepts.
    rate_limit: Mutex<Option<HeaderValue>>,
    /// Value of `Retry-After` in refusals, in seconds.
    retry_after: Mutex<Option<HeaderValue>>,
    /// Value of `saddlepulley-leaving` in each answer.
    leaving: Mutex<Option<HeaderValue>>,
    /// The requests of a runner with a capacity.
    occupancy: Mutex<Option<Arc<Mutex<Occupancy>>>>,
    /// Parts of prompts that crash the runner.
    crashing_parts: Mutex<Vec<CrashingPart>>,
    /// Answers have neither a length nor chunks, and end with their connection.
    is_unframed: Mutex<bool>,
    /// How long the runner is down after a crash.
    down_time: Mutex<Duration>,
    /// How long the listening socket of a crashing runner outlives its connections.
    listening_after_crash: Mutex<Duration>,
    /// Time to read a prompt token of a stream's request, in milliseconds.
    ms_per_token: Mutex<f64>,
    /// Locked while a prompt is read, as prompts are read one after another.
    prompt_reader: tokio::sync::Mutex<()>,
}

impl Shared {
    /// Returns the first part of a prompt that crashes the runner.
    fn crashing_part_in(&self, prompt_parts: &str) -> Option<CrashingPart> {
        let crashing_parts = self.crashing_parts.lock();
        let crashing = crashing_parts.iter().find(|part| part.is_in(prompt_parts));
        crashing.cloned()
    }
}

/// A runner, which stops when dropped.
#[derive(Debug)]
pub struct Runner {
    shared: Arc<Shared>,
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Runner {
    /// Starts a runner whose streams hold `events` events.
    ///
    /// # Errors
    ///
    /// Returns the error of listening.
    pub async fn start(id: &str, events: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_string(),
            behaviour: Mutex::new(Behaviour::Serve),
            events,
            runs: Mutex::default(),
            abandoned: Mutex::default(),
            refusals: Mutex::default(),
            crashes: watch::Sender::new(0),
            refused_requests: Mutex::default(),
            rate_limit: Mutex::default(),
            retry_after: Mutex::default(),
            leaving: Mutex::default(),
            occupancy: Mutex::default(),
            crashing_parts: Mutex::default(),
            is_unframed: Mutex::default(),
            listening_after_crash: Mutex::default(),
            down_time: Mutex::new(RESTART_DELAY),
            ms_per_token: Mutex::default(),
            prompt_reader: tokio::sync::Mutex::default(),
        });
        let task = tokio::spawn(serve_across_restarts(listener, address, shared.clone()));
        Ok(Self {
            shared,
            address,
            task: task.abort_handle(),
        })
    }

    /// Returns the upstream ID of the runner.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the address on which the runner listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how later requests are handled.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Sets the header that names how many requests a second the runner accepts from all
    /// daemons together; any text is possible, `None` removes the header. The runner does
    /// not enforce the limit.
    ///
    /// # Panics
    ///
    /// Panics on a text that no header can hold.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        *self.shared.rate_limit.lock() = limit.map(header_value);
    }

    /// Sets the header `Retry-After` of refusals; any text is possible, `None` removes the
    /// header. The runner does not check whether requests come sooner.
    ///
    /// # Panics
    ///
    /// Panics on a text that no header can hold.
    pub fn set_retry_after(&self, seconds: Option<&str>) {
        *self.shared.retry_after.lock() = seconds.map(header_value);
    }

    /// Sets the header by which answers announce that the runner leaves; any text is
    /// possible, `None` removes the header. The runner still accepts requests.
    ///
    /// # Panics
    ///
    /// Panics on a text that no header can hold.
    pub fn set_leaving(&self, word: Option<&str>) {
        *self.shared.leaving.lock() = word.map(header_value);
    }

    /// Sets how long the runner reads each prompt token of a stream's request, in milliseconds;
    /// initially 0. It reads one prompt after another.
    pub fn set_ms_per_token(&self, ms_per_token: f64) {
        *self.shared.ms_per_token.lock() = ms_per_token;
    }

    /// Sets the parts of prompts that crash the runner; initially none.
    pub fn set_crashing_parts(&self, parts: Vec<CrashingPart>) {
        *self.shared.crashing_parts.lock() = parts;
    }

    /// Lets answers have neither a length nor chunks, and end with their connection.
    pub fn set_unframed(&self) {
        *self.shared.is_unframed.lock() = true;
    }

    /// Sets for how long a crashing runner still accepts connections, which stay open and are not served;
    /// initially 0.
    pub fn set_listening_after_crash(&self, time: Duration) {
        *self.shared.listening_after_crash.lock() = time;
    }

    /// Sets how many requests the runner takes; initially any number, which it answers at once.
    pub fn set_capacity(&self, capacity: Option<Capacity>) {
        *self.shared.down_time.lock() = capacity.map_or(RESTART_DELAY, |c| c.down_time);
        *self.shared.occupancy.lock() = capacity.map(new_occupancy);
    }

    /// Changes how many requests wait for a slot at a runner with a capacity.
    pub fn set_queue(&self, queue: usize) {
        if let Some(occupancy) = self.shared.occupancy.lock().as_ref() {
            occupancy.lock().capacity.queue = queue;
        }
    }

    /// Stops the runner; it restarts after a delay, with the same address and ID.
    pub fn restart(&self) {
        self.shared.crashes.send_modify(|n| *n += 1);
    }

    /// Returns the requests refused by `Behaviour::Refuse`.
    pub fn refused_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.refused_requests.lock().clone()
    }

    /// Returns the requests that were started.
    pub fn runs(&self) -> Vec<ReceivedRequest> {
        self.shared.runs.lock().clone()
    }

    /// Returns the number of requests that were not started.
    pub fn refusals(&self) -> u64 {
        *self.shared.refusals.lock()
    }

    /// Returns the number of crashes and restarts.
    pub fn crashes(&self) -> u64 {
        *self.shared.crashes.borrow()
    }

    /// Returns the number of streams dropped before their end, by the client or by a crash.
    pub fn abandoned(&self) -> u64 {
        *self.shared.abandoned.lock()
    }
}

/// Serves until a crash, then listens again on the same address, and so on.
async fn serve_across_restarts(first: TcpListener, address: SocketAddr, shared: Arc<Shared>) {
    let mut listener = first;
    loop {
        accept(listener, &shared).await;
        listener = loop {
            let down_time = *shared.down_time.lock();
            tokio::time::sleep(down_time).await;
            if let Ok(listener) = TcpListener::bind(address).await {
                break listener;
            }
        };
    }
}

/// Accepts connections until the runner crashes.
async fn accept(listener: TcpListener, shared: &Arc<Shared>) {
    let mut crashed = shared.crashes.subscribe();
    loop {
        tokio::select! {
            _ = crashed.changed() => {
                let time = *shared.listening_after_crash.lock();
                let _ = tokio::time::timeout(time, accept_unserved(&listener)).await;
                return;
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(tokio::spawn(serve(stream, shared.clone(), crashed.clone()))),
                Err(_) => return,
            },
        }
    }
}

/// Accepts connections, which stay open for a while and are not served.
async fn accept_unserved(listener: &TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_DELAY).await;
            drop(stream);
        });
    }
}

/// Serves a connection until the runner crashes. `crashed` changes with each crash after the connection was
/// accepted.
async fn serve(stream: TcpStream, shared: Arc<Shared>, mut crashed: watch::Receiver<u64>) {
    let service = service_fn(move |request| respond(request, shared.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A failed answer closes the connection, which is the fault to inject.
        _ = connection => {}
        _ = crashed.changed() => {}
    }
}

/// Crashes the runner after a delay.
async fn crash_after(delay: Duration, shared: Arc<Shared>) {
    tokio::time::sleep(delay).await;
    shared.crashes.send_modify(|n| *n += 1);
}

async fn respond(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> io::Result<Response<ResponseBody>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let attempt = text("saddlepulley-attempt");
    let expected = text("saddlepulley-expected-upstream");
    if expected != shared.id {
        *shared.refusals.lock() += 1;
        return Ok(not_started(&shared, StatusCode::MISDIRECTED_REQUEST));
    }
    let behaviour = *shared.behaviour.lock();
    let run = ReceivedRequest {
        attempt: attempt.clone(),
        target: head.uri.to_string(),
        headers: head.headers.clone(),
        body: body.clone(),
        at: Instant::now(),
    };
    if behaviour == Behaviour::Refuse {
        *shared.refusals.lock() += 1;
        shared.refused_requests.lock().push(run);
        return Ok(refusal_with_retry_after(&shared));
    }
    let _present = match Present::enter(&shared).await {
        Ok(present) => present,
        Err(rejection) => return Ok(rejection),
    };
    shared.runs.lock().push(run);
    if behaviour == Behaviour::ReadPrompts {
        read_prompt(&shared, &text(TOKEN_COUNT), 1.0 / TOKENS_PER_MS).await;
    }
    let is_stream = head.uri.path().starts_with("/stream/");
    if behaviour == Behaviour::CrashOnRequest && body.starts_with(CRASH_PREFIX) {
        tokio::spawn(crash_after(CRASH_DELAY, shared.clone()));
        if !is_stream {
            // The runner crashes before it answers.
            std::future::pending::<()>().await;
        }
    }
    let crashing = shared.crashing_part_in(&text(PROMPT_PARTS));
    if let Some(crashing) = crashing.as_ref().filter(|c| !c.inside_event) {
        tokio::spawn(crash_after(crashing.delay, shared.clone()));
        if crashing.before_head {
            std::future::pending::<()>().await;
        }
    }
    match behaviour {
        Behaviour::LoseAnswer => Err(io::ErrorKind::ConnectionReset.into()),
        Behaviour::Hang => std::future::pending().await,
        Behaviour::Fail => Ok(signed_response(
            &shared,
            &attempt,
            StatusCode::INTERNAL_SERVER_ERROR,
            "failed",
        )),
        Behaviour::BareUnavailable => Ok(signed_response(
            &shared,
            &attempt,
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
        )),
        Behaviour::WrongAttempt => Ok(signed_response(
            &shared,
            "another",
            StatusCode::OK,
            "not yours",
        )),
        _ if is_stream => {
            let after = text("last-event-id").parse().unwrap_or(0);
            let ms_per_token = *shared.ms_per_token.lock();
            read_prompt(&shared, &text(TOKEN_COUNT), ms_per_token).await;
            Ok(event_stream(&shared, &attempt, after, behaviour, crashing))
        }
        _ => {
            let echo = format!(
                "{} {} {}",
                shared.id,
                head.uri,
                String::from_utf8_lossy(&body)
            );
            Ok(signed_response(&shared, &attempt, StatusCode::OK, &echo))
        }
    }
}

fn new_occupancy(capacity: Capacity) -> Arc<Mutex<Occupancy>> {
    Arc::new(Mutex::new(Occupancy::new(capacity)))
}

/// A request that a runner with a capacity has taken in. Its slot is free again once it is dropped.
struct Present {
    /// That of the runner's present life.
    occupancy: Arc<Mutex<Occupancy>>,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Present {
    /// Takes a request in, and runs it for as long as requests run there.
    ///
    /// # Errors
    ///
    /// Returns the rejection if there is no room.
    async fn enter(shared: &Arc<Shared>) -> Result<Option<Self>, Response<ResponseBody>> {
        let Some(occupancy) = shared.occupancy.lock().clone() else {
            return Ok(None);
        };
        let (entered, run_time) = {
            let mut occupancy = occupancy.lock();
            (occupancy.enter(), occupancy.capacity.run_time)
        };
        let Some(slots) = entered else {
            return Err(reject(shared, &occupancy));
        };
        let mut present = Self {
            occupancy,
            _slot: None,
        };
        present._slot = take_slot(slots).await;
        tokio::time::sleep(run_time).await;
        Ok(Some(present))
    }
}

impl Drop for Present {
    fn drop(&mut self) {
        self.occupancy.lock().leave();
    }
}

/// Rejects a request for want of room, and crashes if there were too many such requests.
fn reject(shared: &Arc<Shared>, occupancy: &Mutex<Occupancy>) -> Response<ResponseBody> {
    *shared.refusals.lock() += 1;
    let (is_overloaded, capacity) = {
        let mut occupancy = occupancy.lock();
        (occupancy.is_overloaded(), occupancy.capacity)
    };
    if is_overloaded {
        *shared.occupancy.lock() = Some(new_occupancy(capacity));
        shared.crashes.send_modify(|n| *n += 1);
    }
    not_started(shared, StatusCode::SERVICE_UNAVAILABLE)
}

/// Waits until the prompts that arrived before are read, and then for as long as this one takes.
async fn read_prompt(shared: &Shared, token_count: &str, ms_per_token: f64) {
    let tokens = token_count.split(',').next().and_then(|n| n.parse().ok());
    let reading_ms = tokens.unwrap_or(0.0) * ms_per_token;
    if reading_ms > 0.0 {
        let _reading = shared.prompt_reader.lock().await;
        tokio::time::sleep(Duration::from_secs_f64(reading_ms / 1_000.0)).await;
    }
}

/// Returns a refusal that states that the request was not started.
fn not_started(shared: &Shared, status: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(body_of("not started"));
    *answer.status_mut() = status;
    let yes = HeaderValue::from_static("1");
    answer.headers_mut().insert("x-not-started", yes);
    add_state_headers(&mut answer, shared);
    answer
}

/// Returns the refusal of an overloaded runner, with `Retry-After` if set.
fn refusal_with_retry_after(shared: &Shared) -> Response<ResponseBody> {
    let mut answer = not_started(shared, StatusCode::SERVICE_UNAVAILABLE);
    if let Some(retry_after) = shared.retry_after.lock().clone() {
        answer.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    answer
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a header's value")
}

/// Adds the headers about the runner's state that all answers carry.
fn add_state_headers(answer: &mut Response<ResponseBody>, shared: &Shared) {
    let headers = answer.headers_mut();
    if let Some(limit) = shared.rate_limit.lock().clone() {
        headers.insert("saddlepulley-limit", limit);
    }
    let occupancy = shared.occupancy.lock().clone();
    let max_rejections = occupancy.and_then(|o| o.lock().capacity.max_rejections);
    if let Some(max) = max_rejections {
        headers.insert("saddlepulley-max-rejections", max.into());
    }
    if let Some(word) = shared.leaving.lock().clone() {
        headers.insert("saddlepulley-leaving", word);
    }
}

fn signed_response(
    shared: &Shared,
    attempt: &str,
    status: StatusCode,
    body: &str,
) -> Response<ResponseBody> {
    let mut answer = Response::new(body_of(body));
    *answer.status_mut() = status;
    add_signature(&mut answer, shared, attempt);
    answer
}

fn body_of(body: &str) -> ResponseBody {
    let bytes = Bytes::copy_from_slice(body.as_bytes());
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn add_signature(answer: &mut Response<ResponseBody>, shared: &Shared, attempt: &str) {
    if *shared.is_unframed.lock() {
        // Bodies of answers in this version end with their connection.
        *answer.version_mut() = hyper::Version::HTTP_10;
    }
    let headers = answer.headers_mut();
    let signature = format!("{}.{attempt}", shared.id);
    if let Ok(value) = HeaderValue::from_str(&signature) {
        headers.insert("saddlepulley-signature", value);
    }
    if let Ok(value) = HeaderValue::from_str(attempt) {
        headers.insert("saddlepulley-attempt", value);
    }
    add_state_headers(answer, shared);
}

/// Counts a stream as abandoned if dropped before its end.
struct AbandonmentGuard {
    shared: Arc<Shared>,
    next: u64,
    done: bool,
}

impl AbandonmentGuard {
    /// Records that the stream reached its end.
    fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for AbandonmentGuard {
    fn drop(&mut self) {
        if !self.done {
            *self.shared.abandoned.lock() += 1;
        }
    }
}

fn event_stream(
    shared: &Arc<Shared>,
    attempt: &str,
    after: u64,
    behaviour: Behaviour,
    crashing: Option<CrashingPart>,
) -> Response<ResponseBody> {
    let crashes_inside = crashing.as_ref().is_some_and(|part| part.inside_event);
    let crash_at = crashing.map(|part| Instant::now() + part.delay);
    let state = AbandonmentGuard {
        shared: shared.clone(),
        next: after + 1,
        done: false,
    };
    let events = stream::unfold(state, move |mut state| async move {
        let is_last = state.next >= state.shared.events;
        if state.next == u64::MAX || is_last && crash_at.is_some() && !crashes_inside {
            // The runner crashes before the end of the answer.
            std::future::pending::<()>().await;
        }
        if state.next > state.shared.events || state.done {
            state.finish();
            return None;
        }
        let number = state.next;
        let pause = match behaviour {
            Behaviour::PauseStream(at) if at == number => STREAM_PAUSE,
            _ => EVENT_INTERVAL,
        };
        tokio::time::sleep(pause).await;
        state.next += 1;
        let event = format!("id: {number}\ndata: event {number}\n\n");
        let is_due = crash_at.is_some_and(|at| is_last || Instant::now() >= at);
        if crashes_inside && is_due {
            // The half of the event is on its way when the runner crashes.
            tokio::spawn(crash_after(EVENT_INTERVAL, state.shared.clone()));
            state.next = u64::MAX;
            let half = Bytes::from(event[..event.len() / 2].to_string());
            return Some((vec![Ok(Frame::data(half))], state));
        }
        if behaviour == Behaviour::CutStream(number) {
            state.finish();
            let half = Bytes::from(event[..event.len() / 2].to_string());
            return Some((
                vec![
                    Ok(Frame::data(half)),
                    Err(io::ErrorKind::ConnectionReset.into()),
                ],
                state,
            ));
        }
        Some((vec![Ok(Frame::data(Bytes::from(event)))], state))
    });
    let frames = futures_util::StreamExt::flat_map(events, stream::iter);
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    add_signature(&mut answer, shared, attempt);
    answer
}
