use {
    super::{attempts::Attempts, forward_whole::speaks_for_itself, send::*, *},
    crate::{
        clock::{BootInstant, timeout, timeout_at},
        policy::StallLimits,
        upstreams::*,
    },
    bytes::Bytes,
    futures_util::stream,
    http::{Response, response::Parts},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    std::{io, sync::Arc, time::Duration},
};

/// How often a silent upstream is looked at.
const STALL_CHECK: Duration = Duration::from_millis(200);

/// Forwards a request whose answer is a series of events.
pub async fn forward_stream(
    gateway: &Arc<Gateway>,
    context: RequestContext,
) -> Response<AnswerBody> {
    let mut relay = StreamRelay::new(gateway.clone(), context);
    let give_up_at = relay.context.give_up_at;
    let first = timeout_at(give_up_at, relay.first()).await;
    match first {
        Ok(Some((head, bytes))) => relayed(head, relay.into_body(bytes)),
        Ok(None) => gateway.give_up(&relay.context, &relay.attempts, false),
        Err(_) => gateway.give_up(&relay.context, &relay.attempts, true),
    }
}

/// An answer on its way from one upstream after the other to its client.
/// Dropping it cancels the request.
struct StreamRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    attempts: Attempts,
    current: Option<Sent>,
    border: EventSplitter,
    /// The last event that was passed on, or that the client had before.
    last_id: Option<u64>,
    /// Whether the current answer is a series of events.
    is_events: bool,
    began: bool,
    done: bool,
}

/// What an upstream sent next.
enum Step {
    Events(EventRun),
    Raw(Bytes),
    End,
}

impl StreamRelay {
    fn new(gateway: Arc<Gateway>, context: RequestContext) -> Self {
        Self {
            last_id: context.last_event_id,
            gateway,
            context,
            attempts: Attempts::default(),
            current: None,
            border: EventSplitter::default(),
            is_events: true,
            began: false,
            done: false,
        }
    }

    /// Waits for the answer's head and first bytes.
    async fn first(&mut self) -> Option<(Parts, Bytes)> {
        loop {
            self.open().await?;
            let head = self.current.as_ref()?.answer.head.clone();
            match self.step().await {
                Ok(step) => {
                    self.gateway.record_run(&self.context);
                    if matches!(step, Step::Events(_))
                        && let Some(sent) = &self.current
                    {
                        sent.active.first_event();
                        let time_ms = sent.active.age_ms();
                        self.gateway
                            .record_answer(&self.context, &sent.upstream, Some(time_ms));
                    }
                    self.began = true;
                    return Some((head, self.pass_on(step)));
                }
                Err(failure) => self.fail(failure)?,
            }
        }
    }

    /// Returns the next bytes for the client; none at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer breaks off for good.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.done {
                return None;
            }
            if self.current.is_none() && self.open().await.is_none() {
                return self.break_off();
            }
            match self.step().await {
                Ok(step) => {
                    let bytes = self.pass_on(step);
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                Err(failure) => {
                    if self.fail(failure).is_none() {
                        return self.break_off();
                    }
                }
            }
        }
    }

    fn break_off(&mut self) -> Option<io::Result<Bytes>> {
        self.done = true;
        self.current = None;
        metrics::counter!(BROKEN_STREAMS).increment(1);
        log::warn!(
            target: "gateway",
            "stream broken off. request={} sends={} last_event={:?} cause=\"{:?}\"",
            self.context.id_text(),
            self.attempts.sends,
            self.last_id,
            self.attempts.last_failure
        );
        Some(Err(io::ErrorKind::ConnectionAborted.into()))
    }

    /// Sends the request to an upstream, and on to others as long as it may.
    async fn open(&mut self) -> Option<()> {
        loop {
            let placement = self.attempts.place(&self.gateway, &self.context).await?;
            let upstream = &placement.upstream;
            match self.send_patiently(&placement).await {
                Ok(sent) => {
                    let status = sent.answer.head.status;
                    let is_success = status.is_success();
                    let retry = status.is_server_error() && self.can_move();
                    let unfit = self.began && !is_success;
                    if unfit || retry || !speaks_for_itself(status) {
                        drop(sent);
                        let failure = SendFailure::MayHaveRun(status.to_string());
                        self.fail_at(upstream, failure)?;
                        continue;
                    }
                    self.is_events = is_success && is_event_stream(&sent.answer.head);
                    self.border = EventSplitter::default();
                    self.current = Some(sent);
                    return Some(());
                }
                Err(failure) => self.fail_at(upstream, failure)?,
            }
        }
    }

    /// Sends the request; while it could still go elsewhere, not longer than a
    /// silent upstream is waited for.
    async fn send_patiently(&self, placement: &Placement) -> Result<Sent, SendFailure> {
        let send = send(&self.gateway, &self.context, placement, self.last_id);
        if !self.can_move() {
            return send.await;
        }
        let started_ms = self.gateway.steady_ms();
        tokio::pin!(send);
        loop {
            match timeout(STALL_CHECK, &mut send).await {
                Ok(sent) => return sent,
                Err(_) => self.check_stall(&placement.upstream, started_ms)?,
            }
        }
    }

    /// Waits for what the upstream sends next.
    async fn step(&mut self) -> Result<Step, SendFailure> {
        let waiting_since = self.gateway.steady_ms();
        loop {
            let can_move = self.can_move();
            let give_up_at = self.context.give_up_at;
            let Some(sent) = &mut self.current else {
                return Err(SendFailure::NotSent("not sent".into()));
            };
            let wake_at = match can_move {
                true => (BootInstant::now() + STALL_CHECK).min(give_up_at),
                false => give_up_at,
            };
            let next = timeout_at(wake_at, sent.answer.next_chunk()).await;
            let Ok(piece) = next else {
                if BootInstant::now() >= give_up_at {
                    return Err(SendFailure::MayHaveRun("the time is up".into()));
                }
                let upstream = sent.upstream.clone();
                self.check_stall(&upstream, waiting_since)?;
                continue;
            };
            let Some(piece) = piece else {
                return self.end();
            };
            let piece = piece?;
            sent.active.progress();
            if !self.is_events {
                return Ok(Step::Raw(piece));
            }
            if let Some(run) = self.border.push(&piece) {
                return self.check_order(run).map(Step::Events);
            }
            if self.border.is_too_large() {
                return Err(SendFailure::MayHaveRun("an event is too large".into()));
            }
        }
    }

    fn end(&mut self) -> Result<Step, SendFailure> {
        if self.is_events && self.border.is_inside_event() {
            return Err(SendFailure::MayHaveRun("ended inside an event".into()));
        }
        Ok(Step::End)
    }

    /// Checks that events go on where the last ones ended.
    fn check_order(&self, run: EventRun) -> Result<EventRun, SendFailure> {
        match (self.last_id, run.first_id) {
            (Some(last), Some(first)) if first <= last => Err(SendFailure::MayHaveRun(
                "events don't go on in order".into(),
            )),
            _ => Ok(run),
        }
    }

    fn pass_on(&mut self, step: Step) -> Bytes {
        match step {
            Step::Events(run) => {
                self.last_id = run.last_id.or(self.last_id);
                run.bytes
            }
            Step::Raw(bytes) => bytes,
            Step::End => {
                self.done = true;
                if let Some(sent) = self.current.take() {
                    log::info!(
                        target: "stream",
                        "ended whole. request={} upstream={} sends={} last_event={:?}",
                        self.context.id_text(),
                        sent.upstream.id,
                        self.attempts.sends + 1,
                        self.last_id
                    );
                    sent.active.ended_whole();
                    self.gateway
                        .record_complete_answer(&self.context, sent.answer.head.status);
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

    fn can_move(&self) -> bool {
        self.context.route.is_retryable()
            && self.attempts.sends + 1 < self.context.route.max_attempts
    }

    /// Gives an upstream up that has been silent for too long.
    fn check_stall(&self, upstream: &Upstream, waiting_since_ms: u64) -> Result<(), SendFailure> {
        let now_ms = self.gateway.steady_ms();
        let last_ms = {
            let loads = self.gateway.loads.lock();
            loads.get(&upstream.id).map_or(0, |l| l.last_progress_ms)
        };
        let limits = StallLimits::of(&self.context.route, self.began);
        let waited_ms = now_ms.saturating_sub(waiting_since_ms);
        let silent_ms = now_ms.saturating_sub(last_ms.max(waiting_since_ms));
        if !limits.is_stalled(waited_ms, silent_ms) {
            return Ok(());
        }
        self.gateway
            .loads
            .lock()
            .entry(&upstream.id)
            .record_unreachable(now_ms);
        Err(SendFailure::MayHaveRun("the upstream is silent".into()))
    }

    fn fail(&mut self, failure: SendFailure) -> Option<()> {
        // The old run is cancelled before a new one starts.
        let sent = self.current.take()?;
        let upstream = sent.upstream.clone();
        drop(sent);
        self.fail_at(&upstream, failure)
    }

    fn fail_at(&mut self, upstream: &Arc<Upstream>, failure: SendFailure) -> Option<()> {
        self.gateway
            .record_send_failure(&self.context, upstream, &failure);
        let goes_on = self
            .attempts
            .may_go_on(&self.gateway, &self.context, &upstream.id, failure);
        goes_on.then_some(())
    }

    /// Turns the relay into a body that begins with the given bytes.
    fn into_body(self, first: Bytes) -> AnswerBody {
        let events = stream::unfold((self, Some(first)), |(mut relay, first)| async move {
            let next = match first {
                Some(bytes) if !bytes.is_empty() => Some(Ok(bytes)),
                _ => relay.next().await,
            };
            next.map(|item| (item.map(Frame::data), (relay, None)))
        });
        StreamBody::new(events).boxed_unsync()
    }
}

fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(http::header::CONTENT_TYPE);
    kind.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}
