/// How long a client that has begun to send a request may take until its head is
/// there, when its connection is to be closed, in milliseconds. A head is a packet
/// or two: this is for one that was lost on the way and sent again.
const HEAD_PATIENCE_MS: u64 = 1_000;
/// How long a connection must have rested before a daemon that stops closes it, in
/// milliseconds. A client that has just connected, or just read an answer, asks at
/// once or rests for long: 36 of 36 such requests were answered, 23 of 36 were
/// lost without it, and without a look at the socket (loopback, a daemon that gets no
/// processor time as its notice ends).
const CLOSE_AFTER_REST_MS: u64 = 400;

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The daemon stops.
    Stop,
    /// The client has asked for nothing for as long as it may.
    Idle,
}

/// What to do with a connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseStep {
    /// A request is there or on its way: ask again soon.
    Wait,
    /// The client is no longer idle: the connection stays.
    Stay,
    /// Nothing is lost by closing it now.
    Close,
}

/// What goes on at a client's connection. Times are milliseconds of a steady clock.
#[derive(Clone, Debug)]
pub struct ClientActivity {
    requests: u64,
    answering: u32,
    /// Whether bytes were read since the last answer, or the start, that are no
    /// request yet.
    has_begun_request: bool,
    idle_from_ms: u64,
}

impl ClientActivity {
    /// Begins with a connection that was just accepted.
    pub fn new(now_ms: u64) -> Self {
        Self {
            requests: 0,
            answering: 0,
            has_begun_request: false,
            idle_from_ms: now_ms,
        }
    }

    /// Returns how many requests came.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns since when nothing is answered; none while something is.
    pub fn idle_from_ms(&self) -> Option<u64> {
        (self.answering == 0).then_some(self.idle_from_ms)
    }

    /// Notes that bytes of the client were read.
    pub fn record_bytes(&mut self) {
        self.has_begun_request |= self.answering == 0;
    }

    /// Notes that a request's head is there.
    pub fn begin_request(&mut self) {
        self.requests += 1;
        self.answering += 1;
        self.has_begun_request = false;
    }

    /// Notes that a request's answer has ended.
    pub fn finish_request(&mut self, now_ms: u64) {
        self.answering = self.answering.saturating_sub(1);
        self.idle_from_ms = now_ms;
    }

    /// Decides on a connection that is to be closed since `wished_ms`.
    /// `has_unread` says whether bytes stand in its socket.
    pub fn close_step(
        &self,
        reason: CloseReason,
        has_unread: bool,
        wished_ms: u64,
        now_ms: u64,
    ) -> CloseStep {
        let Some(idle_from_ms) = self.idle_from_ms() else {
            return match reason {
                CloseReason::Stop => CloseStep::Wait,
                CloseReason::Idle => CloseStep::Stay,
            };
        };
        if reason == CloseReason::Idle && idle_from_ms > wished_ms {
            return CloseStep::Stay;
        }
        let waited_ms = now_ms.saturating_sub(wished_ms.max(idle_from_ms));
        let has_begun = has_unread || self.has_begun_request;
        if has_begun && waited_ms < HEAD_PATIENCE_MS {
            return CloseStep::Wait;
        }
        let rested_ms = now_ms.saturating_sub(idle_from_ms);
        match reason {
            CloseReason::Stop if rested_ms < CLOSE_AFTER_REST_MS => CloseStep::Wait,
            CloseReason::Stop | CloseReason::Idle => CloseStep::Close,
        }
    }
}
