use {
    super::{attempt::*, *},
    crate::{engine::*, names::*, policy::*, requests::*},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

const BACKOFF_BASE_MS: u64 = 50;
const BACKOFF_CAP_MS: u64 = 2_000;
/// An attempt that says nothing for this long has stalled.
const STALL: Duration = Duration::from_millis(3_000);
/// How long an attempt may take to its first token, beyond the target's tenfold.
const FIRST_STALL: Duration = Duration::from_millis(5_000);
/// How long to wait for an upstream when there is none.
const NO_PLACE_PAUSE_MS: u64 = 200;

/// How an attempt ended.
#[derive(Debug)]
enum AttemptEnd {
    /// The answer is whole.
    Whole,
    /// The request is not this box's any more, or nobody wants it.
    Stop,
    /// The deadline passed.
    Expired,
    /// It was told to go on elsewhere.
    Moved(Option<BoxId>),
    /// The answer was cut off or stalled.
    Lost,
    /// It was refused or not reached.
    Refused(EngineError),
}

/// One model request on its way through attempts.
struct ModelRun<'a> {
    world: &'a Arc<World>,
    cell: &'a Arc<RequestCell>,
    spec: Arc<RequestSpec>,
    epoch: u64,
    splice: Splice,
    rng: ChaCha8Rng,
    orders: watch::Receiver<MoveOrder>,
    exclude: BTreeSet<BoxId>,
    retries: u32,
    losses: u32,
    attempts: u32,
    started: bool,
    score: RunScore,
}

/// Runs a repeatable model request until it ends or moves to another box.
pub async fn run_model(world: &Arc<World>, cell: &Arc<RequestCell>) {
    let (spec, committed, epoch) = {
        let r = cell.read();
        (r.spec.clone(), r.tokens.len(), r.epoch)
    };
    let mut run = ModelRun {
        world,
        cell,
        epoch,
        splice: Splice::at(committed),
        rng: world.fork_rng(),
        orders: cell.orders(),
        exclude: BTreeSet::new(),
        retries: 0,
        losses: 0,
        attempts: 0,
        started: committed > 0 || epoch > 1,
        score: RunScore::new(&spec),
        spec,
    };
    run.go().await;
}

impl ModelRun<'_> {
    async fn go(&mut self) {
        let mut next = self.first_place();
        loop {
            if let Some(end) = self.over() {
                return self.finish(end);
            }
            let place = match next.take().or_else(|| self.choose()) {
                Some(place) => place,
                None => {
                    if self.no_place().await {
                        return;
                    }
                    continue;
                }
            };
            match self.attempt(&place).await {
                AttemptEnd::Whole => {
                    let total = self.splice.committed();
                    return self.finish(Ending::Whole { total });
                }
                AttemptEnd::Stop => return,
                AttemptEnd::Expired => {}
                AttemptEnd::Moved(to) => next = to.and_then(|id| self.place_of(&id)),
                AttemptEnd::Lost if !self.world.settings.trial.resume => {
                    let failure = Failure::new(Outcome::MayHaveRun, "the answer was cut off", 0);
                    return self.finish(Ending::Failed(failure));
                }
                AttemptEnd::Lost => self.after_loss(&place).await,
                AttemptEnd::Refused(e) => {
                    if !self.after_refusal(&place, e).await {
                        return;
                    }
                }
            }
        }
    }

    /// A request that was taken over goes on at its upstream, which may still run it.
    fn first_place(&self) -> Option<ChosenUpstream> {
        let id = self.cell.read().upstream.clone()?;
        self.place_of(&id)
    }

    fn place_of(&self, id: &BoxId) -> Option<ChosenUpstream> {
        let boxes = self.world.boxes.read();
        let b = boxes.get(id)?;
        (b.state == BoxState::Live).then(|| ChosenUpstream::of(b))
    }

    fn choose(&mut self) -> Option<ChosenUpstream> {
        let generated = self.splice.committed();
        choose(
            self.world,
            &self.spec,
            generated,
            &self.exclude,
            &mut self.rng,
        )
    }

    fn over(&self) -> Option<Ending> {
        if now_ms() < self.spec.deadline_ms {
            return None;
        }
        let outcome = if self.started {
            Outcome::Expired
        } else {
            Outcome::NotRun
        };
        Some(Ending::Failed(Failure::new(
            outcome,
            "the deadline passed",
            0,
        )))
    }

    /// Without a place here the request goes to a failure domain that has one.
    ///
    /// Returns whether this box is done with it.
    async fn no_place(&mut self) -> bool {
        if self.is_stopped() {
            return true;
        }
        if move_to_other_domain(self.world, self.cell).await {
            return true;
        }
        // Each place here was tried: they may be tried again.
        self.exclude.clear();
        let pause = NO_PLACE_PAUSE_MS.min(self.left_ms());
        tokio::time::sleep(Duration::from_millis(pause)).await;
        false
    }

    async fn attempt(&mut self, place: &ChosenUpstream) -> AttemptEnd {
        self.orders.mark_unchanged();
        if *self.orders.borrow() == self.leave_order(place) {
            self.exclude.insert(place.id.clone());
        }
        let attempt = self.splice.next_attempt();
        self.attempts += 1;
        self.cell.change(|r| r.upstream = Some(place.id.clone()));
        let in_flight = InFlight::start(self.world, place);
        let opened = self.open(place, attempt).await;
        let end = match opened {
            Ok(frames) => {
                self.started = true;
                self.pump(place, attempt, frames).await
            }
            Err(e) => AttemptEnd::Refused(e),
        };
        self.score.cost_micros += in_flight.cost_micros();
        if matches!(
            end,
            AttemptEnd::Stop | AttemptEnd::Moved(_) | AttemptEnd::Expired
        ) {
            self.cancel(place);
        }
        end
    }

    fn leave_order(&self, place: &ChosenUpstream) -> MoveOrder {
        MoveOrder::Leave {
            from: place.id.clone(),
            to: None,
        }
    }

    async fn open(&self, place: &ChosenUpstream, attempt: u32) -> Result<Frames, EngineError> {
        let generated = self.cell.read().tokens.clone();
        let Some(work) = self.spec.model() else {
            return Err(EngineError::CutOff);
        };
        let ask = CompletionRequest {
            request_id: self.spec.id.uuid(),
            attempt,
            prompt: &work.prompt,
            generated: &generated,
            max_tokens: work.max_tokens as usize,
            priority: self.spec.terms.priority,
        };
        self.world
            .backends
            .engine
            .complete(place.address, ask)
            .await
    }

    async fn pump(
        &mut self,
        place: &ChosenUpstream,
        attempt: u32,
        mut frames: Frames,
    ) -> AttemptEnd {
        let opened_ms = now_ms();
        let mut owners = self.cell.watch_owner();
        let first = Duration::from_millis(u64::from(self.spec.terms.first_token_ms) * 10);
        let mut max_wait = FIRST_STALL + first;
        let expiry = tokio::time::sleep(Duration::from_millis(self.left_ms()));
        tokio::pin!(expiry);
        let stall = tokio::time::sleep(max_wait);
        tokio::pin!(stall);
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                frame = frames.recv() => match frame {
                    Some(Ok(frame)) => {
                        heard = Instant::now();
                        if self.take(place, attempt, frame, opened_ms) {
                            max_wait = STALL;
                        }
                        if self.splice.is_complete() {
                            return AttemptEnd::Whole;
                        }
                    }
                    _ => return AttemptEnd::Lost,
                },
                Ok(()) = self.orders.changed() => {
                    let order = self.orders.borrow().clone();
                    if let MoveOrder::Leave { from, to } = order && from == place.id {
                        self.exclude.insert(from);
                        return AttemptEnd::Moved(to);
                    }
                }
                _ = owners.changed() => {
                    if self.is_stopped() {
                        return AttemptEnd::Stop;
                    }
                }
                () = &mut expiry => return AttemptEnd::Expired,
                () = &mut stall => {
                    // The timer is set again when it fires, not with every frame.
                    if heard.elapsed() >= max_wait {
                        return AttemptEnd::Lost;
                    }
                    stall.as_mut().reset(heard + max_wait);
                }
            }
        }
    }

    /// Takes a frame; returns whether it brought tokens.
    fn take(
        &mut self,
        place: &ChosenUpstream,
        attempt: u32,
        frame: CompletionFrame,
        opened_ms: u64,
    ) -> bool {
        if frame.request_id != self.spec.id.uuid() {
            return false;
        }
        if let Some(usage) = frame.usage {
            self.note_usage(place, usage);
        }
        let first = self.splice.committed() == 0;
        let tokens = self.splice.take(AnswerChunk {
            attempt: frame.attempt,
            offset: frame.offset,
            tokens: frame.tokens,
            total: frame.total,
        });
        if tokens.is_empty() {
            return false;
        }
        let now = now_ms();
        self.score.tokens(tokens.len(), now);
        if first && attempt == 1 {
            self.note_first(place, now - opened_ms);
        }
        let still_owner = self.cell.change(|r| {
            let mine = r.is_owner() && r.epoch == self.epoch;
            if mine {
                r.commit(tokens);
            }
            mine
        });
        if still_owner {
            self.world.replicators.mark(self.world, self.cell);
        }
        true
    }

    fn note_usage(&mut self, place: &ChosenUpstream, usage: EngineUsage) {
        let computed = u64::from(usage.prompt_tokens.saturating_sub(usage.cached_tokens));
        if self.attempts > 1 || self.epoch > 1 {
            self.cell.change(|r| r.recomputed += computed);
            metrics::counter!("saddlepulley_recomputed_tokens_total").increment(computed);
        }
        self.score.computed += computed;
        let Some(work) = self.spec.model() else {
            return;
        };
        let hashes = prefix_hashes(&work.prompt);
        self.world.hints.lock().stored(&place.id, &hashes);
    }

    /// The adaptive limit learns from the time to the first token, less the
    /// request's own prefill.
    fn note_first(&self, place: &ChosenUpstream, ms: u64) {
        let mut stats = self.world.stats.lock();
        let s = stats.of(&place.id);
        let rate = s.load.as_ref().map_or(f64::MAX, |l| l.prefill_tokens_per_s);
        let prefill_ms = self.score.computed as f64 / rate.max(1.0) * 1_000.0;
        let in_flight = s.in_flight;
        s.limit.sample((ms as f64 - prefill_ms).max(1.0), in_flight);
    }

    fn is_stopped(&self) -> bool {
        let r = self.cell.read();
        !r.is_owner() || r.epoch != self.epoch || r.is_ended()
    }

    /// An answer that was cut off goes on elsewhere. This costs no retry budget:
    /// the request was accepted, and its upstream is gone, not overloaded.
    async fn after_loss(&mut self, place: &ChosenUpstream) {
        self.exclude.insert(place.id.clone());
        let ms = full_jitter_ms(self.losses, BACKOFF_BASE_MS, BACKOFF_CAP_MS, &mut self.rng);
        self.losses += 1;
        tokio::time::sleep(Duration::from_millis(ms.min(self.left_ms()))).await;
    }

    /// Returns whether to go on.
    async fn after_refusal(&mut self, place: &ChosenUpstream, e: EngineError) -> bool {
        self.started |= !e.is_not_run();
        if e.is_not_connected() {
            avoid(self.world, place);
            self.exclude.insert(place.id.clone());
            return true;
        }
        if e.is_cut_off() {
            self.after_loss(place).await;
            return true;
        }
        self.world.stats.lock().of(&place.id).limit.refused();
        let style = placement(&self.spec.policy).retry_style();
        if style == RetryStyle::Immediate || !self.world.settings.trial.budget {
            return true;
        }
        self.exclude.insert(place.id.clone());
        if !spend_retry(self.world, &self.spec) {
            let outcome = if self.started {
                Outcome::MayHaveRun
            } else {
                Outcome::NotRun
            };
            let failure = Failure::new(outcome, format!("no retry is left: {e}"), 1_000);
            self.finish(Ending::Failed(failure));
            return false;
        }
        let ms = full_jitter_ms(self.retries, BACKOFF_BASE_MS, BACKOFF_CAP_MS, &mut self.rng);
        self.retries += 1;
        tokio::time::sleep(Duration::from_millis(ms.min(self.left_ms()))).await;
        true
    }

    fn cancel(&self, place: &ChosenUpstream) {
        let naive = self.spec.policy.as_str() == NaivePlacement::NAME;
        if naive || !self.world.settings.trial.cancel {
            return;
        }
        // The box that took the request over may go on reading at this upstream.
        if matches!(self.cell.read().role, Role::Moved { .. }) {
            return;
        }
        let engine = self.world.backends.engine.clone();
        let (address, id) = (place.address, self.spec.id.uuid());
        tokio::spawn(async move {
            let _ = engine.cancel(address, id).await;
        });
    }

    fn left_ms(&self) -> u64 {
        self.spec.deadline_ms.saturating_sub(now_ms())
    }

    fn finish(&self, ending: Ending) {
        finish(self.world, self.cell, ending, &self.score);
    }
}

/// Ends a request that this box owns, and notes how its policy did.
pub fn finish(world: &Arc<World>, cell: &Arc<RequestCell>, ending: Ending, score: &RunScore) {
    let (ended, recomputed) =
        cell.change_owner(|r| (r.end(ending.clone(), now_ms()), r.recomputed));
    if !ended {
        return;
    }
    world.replicators.mark(world, cell);
    let mut board = world.score.lock();
    board.record(&cell.spec(), &ending, score, recomputed);
}
