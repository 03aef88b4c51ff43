use {
    super::*,
    crate::{names::*, peer::*, requests::*},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

const ATTACH_TIMEOUT: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(100);
const HOPS_BEFORE_PAUSE: u32 = 4;
/// How long a request that is found nowhere is looked for, beyond the silence
/// after which its copy's holder takes it over.
const LOST_AFTER_MS: u64 = 4_000;

/// What a caller's connection gets of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// What was asked, before anything else.
    Spec(Arc<RequestSpec>),
    /// Tokens from an offset on.
    Tokens {
        /// The offset of the first one.
        offset: usize,
        /// The tokens.
        tokens: Vec<Arc<str>>,
    },
    /// The end.
    Ending(Ending),
    /// This box is leaving: the caller should attach at another one.
    Reattach,
    /// No box knows the request.
    NotFound,
}

/// How a part of an answer's way ended.
enum Way {
    /// The answer ended, or its reader left.
    Done,
    /// The request is on this box.
    To(BoxId),
    /// It has to be looked for.
    Look,
}

/// Follows an answer wherever it goes, until its end or the deadline.
pub struct AnswerReader {
    world: Arc<World>,
    id: RequestId,
    account: ClientAccount,
    at: usize,
    told_spec: bool,
    known: bool,
    deadline_ms: u64,
    tx: mpsc::Sender<AnswerEvent>,
}

impl AnswerReader {
    /// Starts to follow an answer from an offset.
    ///
    /// `known` says that the request was accepted, so that finding it nowhere
    /// means that it was lost and not that it never was.
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
            at: from,
            told_spec: false,
            known,
            deadline_ms,
            tx,
        };
        tokio::spawn(reader.follow());
        rx
    }

    async fn follow(mut self) {
        let mut way = match self.world.requests.get(self.id) {
            Some(_) => Way::To(self.world.me.id.clone()),
            None => Way::Look,
        };
        let mut lost_since = None;
        let mut hops = 0;
        loop {
            way = match way {
                Way::Done => return,
                Way::To(to) if to == self.world.me.id => self.read_here().await,
                Way::To(_) if self.world.leaves_at_ms().is_some() => return self.reattach().await,
                Way::To(to) => self.read_there(&to).await,
                Way::Look => match locate(&self.world, self.id, self.at).await {
                    Found::At(to) => Way::To(to),
                    Found::Nowhere if !self.known => return self.send(AnswerEvent::NotFound).await,
                    _ => Way::Look,
                },
            };
            if !matches!(way, Way::Look) {
                self.known = true;
                hops += 1;
                // Two boxes that point at each other for a moment aren't asked without a pause.
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

    async fn read_here(&mut self) -> Way {
        let Some(cell) = self.world.requests.get(self.id) else {
            return Way::Look;
        };
        if cell.read().spec.account != self.account {
            self.send(AnswerEvent::NotFound).await;
            return Way::Done;
        }
        self.tell_spec(cell.spec()).await;
        let _reader = cell.reader();
        let mut changed = cell.watch();
        loop {
            let step = next_step(&cell, self.at);
            let end = match step {
                Step::Wait => {
                    tokio::select! {
                        _ = changed.changed() => continue,
                        () = self.tx.closed() => return Way::Done,
                    }
                }
                Step::Tokens(tokens) => self.tokens(self.at, tokens).await,
                Step::Ending(ending) => {
                    self.send(AnswerEvent::Ending(ending)).await;
                    Some(Way::Done)
                }
                Step::Moved(to) => Some(Way::To(to)),
                Step::NotHere => Some(Way::Look),
            };
            if let Some(way) = end {
                return way;
            }
        }
    }

    async fn read_there(&mut self, to: &BoxId) -> Way {
        let Some(client) = self.world.client_of(to) else {
            return Way::Look;
        };
        let ask = Attach {
            request: self.id,
            account: self.account.clone(),
            from: self.at,
        };
        let opened = client.attach(&ask, ATTACH_TIMEOUT).await;
        let Ok(mut stream) = opened else {
            self.world.links.failed(to);
            return Way::Look;
        };
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.tx.closed() => return Way::Done,
                () = self.unreachable(to) => return Way::Look,
            };
            let end = match event {
                Ok(Some(AttachEvent::Spec(spec))) => {
                    self.tell_spec(Arc::new(*spec)).await;
                    None
                }
                Ok(Some(AttachEvent::Tokens { offset, tokens })) => {
                    self.tokens(offset, tokens).await
                }
                Ok(Some(AttachEvent::Ending(ending))) => {
                    self.send(AnswerEvent::Ending(ending)).await;
                    Some(Way::Done)
                }
                Ok(Some(AttachEvent::Moved(to))) => Some(Way::To(to)),
                Ok(Some(AttachEvent::OtherAccount)) => {
                    self.send(AnswerEvent::NotFound).await;
                    Some(Way::Done)
                }
                Ok(Some(AttachEvent::NotHere) | None) | Err(_) => Some(Way::Look),
            };
            if let Some(way) = end {
                return way;
            }
        }
    }

    /// Ends when the box that the answer is read from no longer answers.
    async fn unreachable(&self, to: &BoxId) {
        let every = Duration::from_millis(self.world.settings.peers.silence_ms / 2);
        let mut failures = 0;
        while failures < 2 {
            tokio::time::sleep(every).await;
            let ping = self.world.call_box(to, &PeerCall::Ping, every).await;
            failures = if ping.is_ok() { 0 } else { failures + 1 };
        }
    }

    /// Passes tokens on, from where the reader is.
    async fn tokens(&mut self, offset: usize, tokens: Vec<Arc<str>>) -> Option<Way> {
        let Some(skip) = self.at.checked_sub(offset) else {
            return Some(Way::Look);
        };
        let fresh: Vec<Arc<str>> = tokens.into_iter().skip(skip).collect();
        if fresh.is_empty() {
            return None;
        }
        let offset = self.at;
        self.at += fresh.len();
        let event = AnswerEvent::Tokens {
            offset,
            tokens: fresh,
        };
        if self.tx.send(event).await.is_err() {
            return Some(Way::Done);
        }
        None
    }

    async fn tell_spec(&mut self, spec: Arc<RequestSpec>) {
        if !self.told_spec {
            self.told_spec = true;
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

/// What a reader at an offset gets next.
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Tokens.
    Tokens(Vec<Arc<str>>),
    /// The end.
    Ending(Ending),
    /// The request is on another box.
    Moved(BoxId),
    /// This box has less than the reader: it must not tell another version.
    NotHere,
}

/// Works out what a reader at an offset gets next from a record.
pub fn next_step(cell: &RequestCell, at: usize) -> Step {
    let r = cell.read();
    match &r.role {
        // A whole copy is as good as the owner's.
        Role::Copy { .. } if r.is_ended() => return whole_copy_step(&r, at),
        Role::Copy { owner } => return Step::Moved(owner.clone()),
        Role::Moved { to } => return Step::Moved(to.clone()),
        Role::Owner => {}
    }
    if at > r.tokens.len() {
        return Step::NotHere;
    }
    if at < r.durable {
        return Step::Tokens(r.tokens[at..r.durable].to_vec());
    }
    match r.shown_ending() {
        Some(ending) => Step::Ending(ending.clone()),
        None => Step::Wait,
    }
}

fn whole_copy_step(r: &Record, at: usize) -> Step {
    if at > r.tokens.len() {
        return Step::NotHere;
    }
    if at < r.tokens.len() {
        return Step::Tokens(r.tokens[at..].to_vec());
    }
    r.ending.clone().map_or(Step::Wait, Step::Ending)
}
