use {
    super::*,
    crate::{names::*, peer::*, requests::*},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Timeout for opening the stream of an answer on another box.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(100);
/// Number of changes of the box that is read from, after which the reader pauses.
const HOPS_BEFORE_PAUSE: u32 = 4;
/// How long a request that no box knows is searched for, in milliseconds, in addition to the
/// silence after which the holder of its copy takes it over.
const LOST_AFTER_MS: u64 = 4_000;

/// An event of an answer that is passed to the client's connection.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// The request; the first event.
    Spec(Arc<RequestSpec>),
    /// Consecutive tokens of the answer.
    Tokens {
        /// Offset of the first token in the answer.
        offset: usize,
        /// The tokens.
        tokens: Vec<Arc<str>>,
    },
    /// The end of the answer.
    Ending(Ending),
    /// This box is leaving: the client should attach at another box.
    Reattach,
    /// No box knows the request.
    NotFound,
}

/// Where an answer is read next.
enum ReadFrom {
    /// Nowhere: the answer ended, or its receiver was dropped.
    Done,
    /// From this box, which may be the reader's own or another.
    At(BoxId),
    /// Unknown: the owner has to be located.
    Locate,
}

/// Reads an answer until its end or the deadline, also when the request moves to another
/// box or its owner is lost.
pub struct AnswerReader {
    world: Arc<World>,
    id: RequestId,
    account: ClientAccount,
    /// Offset of the next token to send.
    next_token: usize,
    spec_sent: bool,
    /// True if the request is known to have been accepted.
    known: bool,
    deadline_ms: u64,
    tx: mpsc::Sender<AnswerEvent>,
}

impl AnswerReader {
    /// Starts to read an answer from an offset.
    ///
    /// `known` is true if the request is known to have been accepted: if no box has it, it
    /// was lost, rather than never sent.
    pub fn start(
        world: &Arc<World>,
        id: RequestId,
        account: &ClientAccount,
        from: usize,
        known: bool,
        deadline_ms: u64,
    ) -> mpsc::Receiver<AnswerEvent> {
        let (tx, rx) = mpsc::channel(64);
        let reader = Self {
            world: world.clone(),
            id,
            account: account.clone(),
            next_token: from,
            spec_sent: false,
            known,
            deadline_ms,
            tx,
        };
        tokio::spawn(reader.follow());
        rx
    }

    async fn follow(mut self) {
        let mut next = match self.world.requests.get(self.id) {
            Some(_) => ReadFrom::At(self.world.me.id.clone()),
            None => ReadFrom::Locate,
        };
        let mut lost_since = None;
        let mut hops = 0;
        loop {
            next = match next {
                ReadFrom::Done => return,
                ReadFrom::At(to) if to == self.world.me.id => self.read_locally().await,
                ReadFrom::At(_) if self.world.leaves_at_ms().is_some() => {
                    return self.reattach().await;
                }
                ReadFrom::At(to) => self.read_remotely(&to).await,
                ReadFrom::Locate => match locate(&self.world, self.id, self.next_token).await {
                    Found::At(to) => ReadFrom::At(to),
                    Found::Nowhere if !self.known => return self.send(AnswerEvent::NotFound).await,
                    _ => ReadFrom::Locate,
                },
            };
            if !matches!(next, ReadFrom::Locate) {
                self.known = true;
                hops += 1;
                // Two boxes may each name the other as owner for a moment: the pause keeps
                // this from becoming a busy loop.
                if hops % HOPS_BEFORE_PAUSE == 0 {
                    tokio::time::sleep(PAUSE).await;
                }
                continue;
            }
            let since = *lost_since.get_or_insert(now_ms());
            if self.is_over(since) {
                return self.give_up().await;
            }
            tokio::select! {
                () = tokio::time::sleep(PAUSE) => {}
                () = self.tx.closed() => return,
            }
        }
    }

    fn is_over(&self, lost_since: u64) -> bool {
        let now = now_ms();
        let max_wait = self.world.settings.peers.silence_ms * 2 + LOST_AFTER_MS;
        now >= self.deadline_ms || now.saturating_sub(lost_since) > max_wait
    }

    async fn read_locally(&mut self) -> ReadFrom {
        let Some(cell) = self.world.requests.get(self.id) else {
            return ReadFrom::Locate;
        };
        if cell.read().spec.account != self.account {
            self.send(AnswerEvent::NotFound).await;
            return ReadFrom::Done;
        }
        self.send_spec(cell.spec()).await;
        let _reader = cell.reader();
        let mut changed = cell.watch();
        loop {
            let step = next_step(&cell, self.next_token);
            let end = match step {
                ReadStep::Wait => {
                    tokio::select! {
                        _ = changed.changed() => continue,
                        () = self.tx.closed() => return ReadFrom::Done,
                    }
                }
                ReadStep::Tokens(tokens) => self.send_tokens(self.next_token, tokens).await,
                ReadStep::Ending(ending) => {
                    self.send(AnswerEvent::Ending(ending)).await;
                    Some(ReadFrom::Done)
                }
                ReadStep::Moved(to) => Some(ReadFrom::At(to)),
                ReadStep::NotHere => Some(ReadFrom::Locate),
            };
            if let Some(next) = end {
                return next;
            }
        }
    }

    async fn read_remotely(&mut self, to: &BoxId) -> ReadFrom {
        let Some(client) = self.world.client_of(to) else {
            return ReadFrom::Locate;
        };
        let attach = Attach {
            request: self.id,
            account: self.account.clone(),
            from: self.next_token,
        };
        let opened = client.attach(&attach, ATTACH_TIMEOUT).await;
        let Ok(mut stream) = opened else {
            self.world.links.record_failure(to);
            return ReadFrom::Locate;
        };
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.tx.closed() => return ReadFrom::Done,
                () = self.unreachable(to) => return ReadFrom::Locate,
            };
            let end = match event {
                Ok(Some(AttachEvent::Spec(spec))) => {
                    self.send_spec(Arc::new(*spec)).await;
                    None
                }
                Ok(Some(AttachEvent::Tokens { offset, tokens })) => {
                    self.send_tokens(offset, tokens).await
                }
                Ok(Some(AttachEvent::Ending(ending))) => {
                    self.send(AnswerEvent::Ending(ending)).await;
                    Some(ReadFrom::Done)
                }
                Ok(Some(AttachEvent::Moved(to))) => Some(ReadFrom::At(to)),
                Ok(Some(AttachEvent::OtherAccount)) => {
                    self.send(AnswerEvent::NotFound).await;
                    Some(ReadFrom::Done)
                }
                Ok(Some(AttachEvent::NotHere) | None) | Err(_) => Some(ReadFrom::Locate),
            };
            if let Some(next) = end {
                return next;
            }
        }
    }

    /// Completes when the box that the answer is read from fails two consecutive pings.
    async fn unreachable(&self, to: &BoxId) {
        let every = Duration::from_millis(self.world.settings.peers.silence_ms / 2);
        let mut failures = 0;
        while failures < 2 {
            tokio::time::sleep(every).await;
            let ping = self.world.call_box(to, &PeerCall::Ping, every).await;
            failures = if ping.is_ok() { 0 } else { failures + 1 };
        }
    }

    /// Passes on the tokens that follow those already sent. Tokens that start after a gap are
    /// not sent; the request is then located again.
    async fn send_tokens(&mut self, offset: usize, tokens: Vec<Arc<str>>) -> Option<ReadFrom> {
        let Some(skip) = self.next_token.checked_sub(offset) else {
            return Some(ReadFrom::Locate);
        };
        let unsent: Vec<Arc<str>> = tokens.into_iter().skip(skip).collect();
        if unsent.is_empty() {
            return None;
        }
        let offset = self.next_token;
        self.next_token += unsent.len();
        let event = AnswerEvent::Tokens {
            offset,
            tokens: unsent,
        };
        if self.tx.send(event).await.is_err() {
            return Some(ReadFrom::Done);
        }
        None
    }

    async fn send_spec(&mut self, spec: Arc<RequestSpec>) {
        if !self.spec_sent {
            self.spec_sent = true;
            self.send(AnswerEvent::Spec(spec)).await;
        }
    }

    async fn reattach(&mut self) {
        self.send(AnswerEvent::Reattach).await;
    }

    async fn give_up(&mut self) {
        let failure = Failure::new(
            Outcome::MayHaveRun,
            "the boxes that had it can't be reached",
            0,
        );
        self.send(AnswerEvent::Ending(Ending::Failed(failure)))
            .await;
    }

    async fn send(&mut self, event: AnswerEvent) {
        let _ = self.tx.send(event).await;
    }
}

/// What a reader at an offset gets next from this box.
pub enum ReadStep {
    /// Nothing yet: wait for a change of the record.
    Wait,
    /// These tokens.
    Tokens(Vec<Arc<str>>),
    /// The end of the answer.
    Ending(Ending),
    /// The request is on another box.
    Moved(BoxId),
    /// This box has fewer tokens than the reader: a continuation from here could differ from
    /// what the reader has got.
    NotHere,
}

/// Returns what a reader at an offset gets next from this box's record.
pub fn next_step(cell: &RequestCell, at: usize) -> ReadStep {
    let r = cell.read();
    match &r.role {
        // A copy that holds the ending is complete and serves as well as the owner's record.
        Role::Copy { .. } if r.is_ended() => return complete_copy_step(&r, at),
        Role::Copy { owner } => return ReadStep::Moved(owner.clone()),
        Role::Moved { to } => return ReadStep::Moved(to.clone()),
        Role::Owner => {}
    }
    if at > r.tokens.len() {
        return ReadStep::NotHere;
    }
    if at < r.durable {
        return ReadStep::Tokens(r.tokens[at..r.durable].to_vec());
    }
    match r.shown_ending() {
        Some(ending) => ReadStep::Ending(ending.clone()),
        None => ReadStep::Wait,
    }
}

fn complete_copy_step(r: &Record, at: usize) -> ReadStep {
    if at > r.tokens.len() {
        return ReadStep::NotHere;
    }
    if at < r.tokens.len() {
        return ReadStep::Tokens(r.tokens[at..].to_vec());
    }
    r.ending.clone().map_or(ReadStep::Wait, ReadStep::Ending)
}
