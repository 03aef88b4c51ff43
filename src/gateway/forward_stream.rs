use {
    super::{attempts::Attempts, forward_buffered::may_relay_status, send::*, *},
    crate::{
        clock::{BootInstant, DeadlineElapsed, timeout, timeout_at},
        cluster::send_origins,
        policy::{HeldFor, StallLimits},
        streams::{EventBatch, EventReader, StreamFault},
        upstreams::*,
    },
    bytes::Bytes,
    futures_util::{Stream, stream},
    http::{Response, header, response::Parts},
    std::{io, sync::Arc, time::Duration},
};

/// Interval at which a silent upstream is checked for a stall.
const STALL_CHECK: Duration = Duration::from_millis(200);

/// Forwards a request whose response is a stream of events.
pub async fn forward_stream(
    gateway: &Arc<Gateway>,
    context: RequestContext,
) -> Response<AnswerBody> {
    let mut relay = StreamRelay::new(gateway.clone(), context);
    let deadline = relay.context.deadline;
    let first = timeout_at(deadline, relay.first()).await;
    match first {
        Ok(Some((head, bytes))) => relayed(head, relay.into_body(bytes)),
        Ok(None) => gateway.give_up(&relay.context, &relay.attempts, false),
        Err(_) => gateway.give_up(&relay.context, &relay.attempts, true),
    }
}

/// Relays a response to the client, from one upstream after another if a stream breaks off.
/// Dropping the relay cancels the request.
struct StreamRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    attempts: Attempts,
    current: Option<Sent>,
    reader: EventReader,
    /// The failure of the current upstream behind the bytes that were read last.
    pending: Option<SendFailure>,
    /// The current upstream has written the end of its response.
    has_ended: bool,
    /// The current response is a stream of events.
    is_events: bool,
    /// The first bytes of a response have been taken for the client.
    has_started: bool,
    /// An event has been taken for the client.
    has_event: bool,
    /// The response has ended, completely or with an error.
    done: bool,
}

/// The next part of an upstream's response.
enum Step {
    Events(EventBatch),
    Raw(Bytes),
    End,
}

impl StreamRelay {
    fn new(gateway: Arc<Gateway>, context: RequestContext) -> Self {
        Self {
            reader: EventReader::after(context.last_event_id),
            gateway,
            context,
            attempts: Attempts::default(),
            current: None,
            pending: None,
            has_ended: false,
            is_events: true,
            has_started: false,
            has_event: false,
            done: false,
        }
    }

    /// Waits for the head and the first bytes of the response.
    async fn first(&mut self) -> Option<(Parts, Bytes)> {
        loop {
            self.open().await?;
            let mut head = self.current.as_ref()?.answer.head.clone();
            if self.is_events && self.can_retry() {
                // Another upstream may continue the stream, in more or fewer bytes.
                head.headers.remove(header::CONTENT_LENGTH);
            }
            match self.step().await {
                Ok(step) => {
                    self.gateway.record_run(&self.context);
                    self.record_first_event(&step).await;
                    self.has_started = true;
                    return Some((head, self.take_bytes(step)));
                }
                Err(failure) => self.fail(failure)?,
            }
        }
    }

    /// Records the first event, before the client gets it. Comments may precede it.
    async fn record_first_event(&mut self, step: &Step) {
        let has_event = matches!(step, Step::Events(batch) if batch.last_id.is_some());
        if !has_event || std::mem::replace(&mut self.has_event, true) {
            return;
        }
        let Some(sent) = &self.current else {
            return;
        };
        let (gateway, context) = (&self.gateway, &self.context);
        sent.active.first_event();
        let time_ms = sent.active.age_ms();
        gateway.record_answer(context, &sent.upstream, Some(time_ms));
        // Already set if the client takes its stream up.
        let version = &sent.upstream.version;
        context.stream_version.get_or_init(|| version.clone());
        // The daemon may end as soon as the client has the event.
        if let Some(origin) = gateway.record_own_origin(context, &sent.upstream) {
            send_origins(gateway, &[origin]).await;
        }
    }

    /// Returns the next bytes for the client, or `None` at the end. Bytes that are ready are returned after
    /// the request's deadline, too, but nothing is waited for.
    ///
    /// # Errors
    ///
    /// Returns an error if the response breaks off and no other upstream may continue it, or if the
    /// deadline passes.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let deadline = self.context.deadline;
        // Covers each wait: for bytes, for another upstream, and for its head.
        match timeout_at(deadline, self.next_bytes()).await {
            Ok(next) => next,
            Err(DeadlineElapsed) => {
                self.attempts.last_failure = Some(deadline_passed());
                self.abort()
            }
        }
    }

    async fn next_bytes(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.done {
                return None;
            }
            if self.current.is_none() && self.open().await.is_none() {
                return self.abort();
            }
            match self.step().await {
                Ok(step) => {
                    self.record_first_event(&step).await;
                    let bytes = self.take_bytes(step);
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                Err(failure) => {
                    if self.fail(failure).is_none() {
                        return self.abort();
                    }
                }
            }
        }
    }

    fn abort(&mut self) -> Option<io::Result<Bytes>> {
        self.done = true;
        self.current = None;
        metrics::counter!(BROKEN_STREAMS).increment(1);
        log::warn!(
            target: "gateway",
            "stream aborted. request={} sends={} last_event={:?} cause=\"{:?}\"",
            self.context.id_text(),
            self.attempts.sends,
            self.reader.last_id(),
            self.attempts.last_failure
        );
        Some(Err(io::ErrorKind::ConnectionAborted.into()))
    }

    /// Sends the request to an upstream, and to others as long as retries are allowed.
    async fn open(&mut self) -> Option<()> {
        loop {
            let placement = self.attempts.place(&self.gateway, &self.context).await?;
            let upstream = &placement.upstream;
            match self.send_unless_stalled(&placement).await {
                Ok(sent) => {
                    let status = sent.answer.head.status;
                    let is_success = status.is_success();
                    let retry = status.is_server_error() && self.can_retry();
                    let is_unusable = self.has_started && !is_success;
                    if is_unusable || retry || !may_relay_status(status) {
                        drop(sent);
                        let failure = SendFailure::MayHaveRun(status.to_string());
                        self.fail_at(upstream, failure)?;
                        continue;
                    }
                    self.is_events = is_event_stream(&sent.answer.head);
                    if is_success && !self.is_events {
                        let fault = StreamFault::NotAStream;
                        self.record_fault(&sent, fault);
                        drop(sent);
                        self.fail_at(upstream, SendFailure::InvalidStream(fault))?;
                        continue;
                    }
                    self.log_continuation(&sent);
                    self.reader.continue_elsewhere();
                    self.pending = None;
                    self.has_ended = false;
                    self.current = Some(sent);
                    return Some(());
                }
                Err(failure) => self.fail_at(upstream, failure)?,
            }
        }
    }

    /// Logs that an upstream continues a stream of which the client already has events.
    fn log_continuation(&self, sent: &Sent) {
        if !self.is_events || self.reader.last_id().is_none() {
            return;
        }
        log::info!(
            target: "stream",
            "stream continues. request={} resumes={} upstream={} version={} sends={} last_event={:?}",
            self.context.id_text(),
            self.context.resumed_text(),
            sent.upstream.id,
            sent.upstream.version,
            self.attempts.sends,
            self.reader.last_id()
        );
    }

    /// Sends the request. If another attempt is allowed, it fails as soon as the upstream
    /// counts as stalled.
    async fn send_unless_stalled(&self, placement: &Placement) -> Result<Sent, SendFailure> {
        let last_id = self.reader.last_id();
        let send = send(&self.gateway, &self.context, placement, last_id);
        if !self.can_retry() {
            return send.await;
        }
        let started_ms = self.gateway.steady_ms();
        tokio::pin!(send);
        loop {
            match timeout(STALL_CHECK, &mut send).await {
                Ok(sent) => return sent,
                Err(_) if !self.is_stalled(&placement.upstream, started_ms) => {}
                Err(_) if self.takes_retry(&placement.upstream) => {
                    return Err(SendFailure::Stalled);
                }
                // No other upstream may take the request, so the wait for this one continues.
                Err(_) => return send.await,
            }
        }
    }

    /// Waits for the next part of the upstream's response.
    async fn step(&mut self) -> Result<Step, SendFailure> {
        if let Some(failure) = self.pending.take() {
            return Err(failure);
        }
        if self.has_ended {
            return Ok(Step::End);
        }
        let waiting_since = self.gateway.steady_ms();
        let mut can_retry = self.can_retry();
        loop {
            let deadline = self.context.deadline;
            let Some(sent) = &mut self.current else {
                return Err(SendFailure::NotSent("not sent".into()));
            };
            let wake_at = match can_retry {
                true => (BootInstant::now() + STALL_CHECK).min(deadline),
                false => deadline,
            };
            let next = timeout_at(wake_at, sent.answer.next_chunk()).await;
            let Ok(chunk) = next else {
                if BootInstant::now() >= deadline {
                    return Err(deadline_passed());
                }
                let upstream = sent.upstream.clone();
                if can_retry && self.is_stalled(&upstream, waiting_since) {
                    if self.takes_retry(&upstream) {
                        return Err(SendFailure::Stalled);
                    }
                    // No other upstream may continue the stream, so the wait for this one continues.
                    can_retry = false;
                }
                continue;
            };
            let Some(chunk) = chunk else {
                return self.end();
            };
            let chunk = chunk?;
            sent.active.progress();
            self.context.record_answering();
            self.gateway.record_running_parts(&self.context);
            if !self.is_events {
                return Ok(Step::Raw(chunk));
            }
            if let Some(batch) = self.read_events(chunk)? {
                return Ok(Step::Events(batch));
            }
        }
    }

    /// Reads the events that a chunk completes. A failure behind them is kept until they are taken.
    fn read_events(&mut self, chunk: Bytes) -> Result<Option<EventBatch>, SendFailure> {
        let Some(sent) = &self.current else {
            return Ok(None);
        };
        let usual = self.gateway.usual_ids(&sent.upstream);
        let batch = self.reader.push(chunk, &usual);
        if let Some(fault) = batch.fault {
            self.record_fault(sent, fault);
            let ids = self.reader.run_ids();
            self.gateway.record_stream_ids(&sent.upstream, &ids);
        }
        let failure = match batch.fault {
            Some(fault) => Some(SendFailure::InvalidStream(fault)),
            None if self.reader.is_too_large() => Some(SendFailure::MayHaveRun(
                "an event exceeds the size limit".into(),
            )),
            None => None,
        };
        match failure {
            Some(failure) if batch.bytes.is_empty() => Err(failure),
            failure => {
                self.pending = failure;
                Ok((!batch.bytes.is_empty()).then_some(batch))
            }
        }
    }

    /// Records that an upstream sent bytes that are no part of the stream.
    fn record_fault(&self, sent: &Sent, fault: StreamFault) {
        let (gateway, upstream) = (&self.gateway, &sent.upstream);
        let (sends, last_event) = (self.attempts.sends, self.reader.last_id());
        gateway.record_stream_fault(&self.context, upstream, sends, last_event, fault);
    }

    fn end(&mut self) -> Result<Step, SendFailure> {
        if !self.is_events {
            return Ok(Step::End);
        }
        if let Some(rest) = self.reader.finish() {
            self.has_ended = true;
            return Ok(Step::Events(rest));
        }
        let cause = "the stream ended inside an event".to_string();
        let sent = self.current.as_ref();
        match sent.is_some_and(|sent| ends_with_connection(&sent.answer.head)) {
            // The connection of an upstream that crashes may end like that of a whole answer.
            true => Err(SendFailure::CutOff(cause)),
            false => Err(SendFailure::MayHaveRun(cause)),
        }
    }

    fn take_bytes(&mut self, step: Step) -> Bytes {
        match step {
            Step::Events(batch) => batch.bytes,
            Step::Raw(bytes) => bytes,
            Step::End => {
                self.done = true;
                if let Some(sent) = self.current.take() {
                    log::info!(
                        target: "stream",
                        "stream completed. request={} upstream={} sends={} last_event={:?}",
                        self.context.id_text(),
                        sent.upstream.id,
                        self.attempts.sends + 1,
                        self.reader.last_id()
                    );
                    sent.active.record_completed();
                    let ids = self.reader.run_ids();
                    self.gateway.record_stream_ids(&sent.upstream, &ids);
                    let (id, head) = (&sent.upstream.id, &sent.answer.head);
                    self.gateway.record_complete_answer(&self.context, id, head);
                    let time_ms = sent.active.age_ms();
                    self.gateway
                        .record_complete(&self.context, &sent.upstream, time_ms);
                    let failed = sent.answer.head.status.is_server_error();
                    self.gateway.record_outcome(&sent.upstream.id, failed);
                }
                Bytes::new()
            }
        }
    }

    fn can_retry(&self) -> bool {
        self.context.route.is_retryable()
            && self.attempts.sends + 1 < self.context.route.max_attempts
    }

    /// Returns whether the upstream has been silent for too long. If so, records it as unreachable, and
    /// requests avoid it for a while.
    fn is_stalled(&self, upstream: &Upstream, waiting_since_ms: u64) -> bool {
        let now_ms = self.gateway.steady_ms();
        let last_ms = {
            let loads = self.gateway.loads.lock();
            loads.get(&upstream.id).map_or(0, |l| l.last_progress_ms)
        };
        let limits = StallLimits::of(&self.context.route, self.has_started);
        let waited_ms = now_ms.saturating_sub(waiting_since_ms);
        let silent_ms = now_ms.saturating_sub(last_ms.max(waiting_since_ms));
        let is_stalled = limits.is_stalled(waited_ms, silent_ms);
        if is_stalled {
            let mut loads = self.gateway.loads.lock();
            loads.entry(&upstream.id).record_unreachable(now_ms);
        }
        is_stalled
    }

    /// Takes a retry from the budget to move the request away from an upstream, if another upstream
    /// may continue it. Returns whether a retry was taken.
    fn takes_retry(&self, upstream: &Upstream) -> bool {
        let (gateway, context) = (&self.gateway, &self.context);
        self.attempts.may_move(gateway, context, &upstream.id) && gateway.spend_retry(context)
    }

    fn fail(&mut self, failure: SendFailure) -> Option<()> {
        // Dropping it cancels the old run before a new one starts.
        let sent = self.current.take()?;
        let upstream = sent.upstream.clone();
        drop(sent);
        if self.has_started && !self.is_events {
            // What another upstream writes does not fit behind the beginning of a failure.
            self.gateway
                .record_send_failure(&self.context, &upstream, &failure);
            self.attempts.last_failure = Some(failure);
            return None;
        }
        self.fail_at(&upstream, failure)
    }

    fn fail_at(&mut self, upstream: &Arc<Upstream>, failure: SendFailure) -> Option<()> {
        self.gateway
            .record_send_failure(&self.context, upstream, &failure);
        let may_retry =
            self.attempts
                .may_retry_after(&self.gateway, &self.context, &upstream.id, failure);
        may_retry.then_some(())
    }

    /// Turns the relay into a body that starts with the given bytes.
    fn into_body(self, first: Bytes) -> AnswerBody {
        let client = &self.context.connection_closer;
        match BufferedBytes::open(&self.gateway, HeldFor::Client, client) {
            Some(held) => read_ahead(self.into_chunks(first), held),
            None => streamed_body(self.into_chunks(first)),
        }
    }

    /// Turns the relay into the chunks of its answer, which start with the given bytes.
    fn into_chunks(self, first: Bytes) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold((self, Some(first)), |(mut relay, first)| async move {
            let next = match first {
                Some(bytes) if !bytes.is_empty() => Some(Ok(bytes)),
                _ => relay.next().await,
            };
            next.map(|item| (item, (relay, None)))
        })
    }
}

fn deadline_passed() -> SendFailure {
    SendFailure::MayHaveRun("the request's deadline has passed".into())
}

/// Returns whether an answer is a success in the type of content of event streams.
fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    let essence = kind.and_then(|value| value.split(';').next());
    let is_stream = |essence: &str| essence.trim().eq_ignore_ascii_case("text/event-stream");
    head.status.is_success() && essence.is_some_and(is_stream)
}
