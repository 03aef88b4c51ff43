use {
    super::{attempt::*, *},
    crate::{engine::*, names::*, policy::*, requests::*},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

const BACKOFF_BASE_MS: u64 = 50;
const BACKOFF_CAP_MS: u64 = 2_000;
/// Time without a frame after which an attempt that has brought tokens counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time without a frame after which an attempt counts as stalled before its first token, in
/// addition to ten times the target for the first token.
const FIRST_TOKEN_STALL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Pause before the search for an upstream is repeated, in milliseconds.
const NO_UPSTREAM_PAUSE_MS: u64 = 200;

/// The outcome of one attempt at one upstream.
#[derive(Debug)]
enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// This box doesn't own the request any more, or the request has ended.
    Stopped,
    /// The request's deadline passed.
    Expired,
    /// An order moved the request away from the upstream, to the named one if there is one.
    Moved(Option<BoxId>),
    /// The answer was cut off or stalled.
    Interrupted,
    /// The upstream refused the attempt or wasn't reached.
    Refused(EngineError),
}

/// The state of one model request across its attempts.
struct ModelRun<'a> {
    world: &'a Arc<World>,
    cell: &'a Arc<RequestCell>,
    spec: Arc<RequestSpec>,
    epoch: u64,
    splice: Splice,
    rng: ChaCha8Rng,
    orders: watch::Receiver<MoveOrder>,
    /// Upstreams that aren't chosen for the next attempt.
    exclude: BTreeSet<BoxId>,
    /// Retries after refusals.
    retries: u32,
    /// Attempts that were interrupted.
    interruptions: u32,
    attempts: u32,
    /// True if an upstream may have started the request.
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
        interruptions: 0,
        attempts: 0,
        started: committed > 0 || epoch > 1,
        score: RunScore::new(&spec),
        spec,
    };
    run.run_attempts().await;
}

impl ModelRun<'_> {
    /// Makes attempts until the request ends or moves to another box.
    async fn run_attempts(&mut self) {
        let mut next = self.prior_upstream();
        loop {
            if let Some(ending) = self.expired() {
                return self.finish(ending);
            }
            let upstream = match next.take().or_else(|| self.choose()) {
                Some(upstream) => upstream,
                None => {
                    if self.await_upstream().await {
                        return;
                    }
                    continue;
                }
            };
            match self.attempt(&upstream).await {
                AttemptOutcome::Complete => {
                    let total = self.splice.committed();
                    return self.finish(Ending::Whole { total });
                }
                AttemptOutcome::Stopped => return,
                AttemptOutcome::Expired => {}
                AttemptOutcome::Moved(to) => next = to.and_then(|id| self.live_upstream(&id)),
                AttemptOutcome::Interrupted if !self.world.settings.trial.resume => {
                    let failure = Failure::new(Outcome::MayHaveRun, "the answer was cut off", 0);
                    return self.finish(Ending::Failed(failure));
                }
                AttemptOutcome::Interrupted => self.after_interruption(&upstream).await,
                AttemptOutcome::Refused(e) => {
                    if !self.after_refusal(&upstream, e).await {
                        return;
                    }
                }
            }
        }
    }

    /// Returns the upstream of a request that was taken over, which may still run it.
    fn prior_upstream(&self) -> Option<ChosenUpstream> {
        let id = self.cell.read().upstream.clone()?;
        self.live_upstream(&id)
    }

    fn live_upstream(&self, id: &BoxId) -> Option<ChosenUpstream> {
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

    /// Returns the ending of a request whose deadline has passed.
    fn expired(&self) -> Option<Ending> {
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

    /// Moves the request to another failure domain if no upstream here can take it, or else waits.
    ///
    /// Returns true if this box has nothing more to do for the request.
    async fn await_upstream(&mut self) -> bool {
        if self.is_stopped() {
            return true;
        }
        if move_to_other_domain(self.world, self.cell).await {
            return true;
        }
        // Every upstream here was tried: lets them all be tried again.
        self.exclude.clear();
        let pause = NO_UPSTREAM_PAUSE_MS.min(self.remaining_ms());
        tokio::time::sleep(Duration::from_millis(pause)).await;
        false
    }

    /// Makes one attempt, and cancels it at the upstream if it ended early.
    async fn attempt(&mut self, upstream: &ChosenUpstream) -> AttemptOutcome {
        self.orders.mark_unchanged();
        if *self.orders.borrow() == self.leave_order(upstream) {
            self.exclude.insert(upstream.id.clone());
        }
        let attempt = self.splice.next_attempt();
        self.attempts += 1;
        self.cell.change(|r| r.upstream = Some(upstream.id.clone()));
        let in_flight = InFlight::start(self.world, upstream);
        let opened = self.open(upstream, attempt).await;
        let end = match opened {
            Ok(frames) => {
                self.started = true;
                self.read_frames(upstream, attempt, frames).await
            }
            Err(e) => AttemptOutcome::Refused(e),
        };
        self.score.cost_micros += in_flight.cost_micros();
        if matches!(
            end,
            AttemptOutcome::Stopped | AttemptOutcome::Moved(_) | AttemptOutcome::Expired
        ) {
            self.cancel(upstream);
        }
        end
    }

    fn leave_order(&self, upstream: &ChosenUpstream) -> MoveOrder {
        MoveOrder::Leave {
            from: upstream.id.clone(),
            to: None,
        }
    }

    async fn open(&self, upstream: &ChosenUpstream, attempt: u32) -> Result<Frames, EngineError> {
        let generated = self.cell.read().tokens.clone();
        let Some(work) = self.spec.model() else {
            return Err(EngineError::CutOff);
        };
        let request = CompletionRequest {
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
            .complete(upstream.address, request)
            .await
    }

    /// Reads the answer until the attempt ends.
    async fn read_frames(
        &mut self,
        upstream: &ChosenUpstream,
        attempt: u32,
        mut frames: Frames,
    ) -> AttemptOutcome {
        let opened_ms = now_ms();
        let mut owner_changes = self.cell.watch_owner();
        let first = Duration::from_millis(u64::from(self.spec.terms.first_token_ms) * 10);
        let mut max_wait = FIRST_TOKEN_STALL_TIMEOUT + first;
        let expiry = tokio::time::sleep(Duration::from_millis(self.remaining_ms()));
        tokio::pin!(expiry);
        let stall = tokio::time::sleep(max_wait);
        tokio::pin!(stall);
        let mut last_frame_at = Instant::now();
        loop {
            tokio::select! {
                frame = frames.recv() => match frame {
                    Some(Ok(frame)) => {
                        last_frame_at = Instant::now();
                        if self.take_frame(upstream, attempt, frame, opened_ms) {
                            max_wait = STALL_TIMEOUT;
                        }
                        if self.splice.is_complete() {
                            return AttemptOutcome::Complete;
                        }
                    }
                    _ => return AttemptOutcome::Interrupted,
                },
                Ok(()) = self.orders.changed() => {
                    let order = self.orders.borrow().clone();
                    if let MoveOrder::Leave { from, to } = order && from == upstream.id {
                        self.exclude.insert(from);
                        return AttemptOutcome::Moved(to);
                    }
                }
                _ = owner_changes.changed() => {
                    if self.is_stopped() {
                        return AttemptOutcome::Stopped;
                    }
                }
                () = &mut expiry => return AttemptOutcome::Expired,
                () = &mut stall => {
                    // The timer is reset when it fires, not with every frame.
                    if last_frame_at.elapsed() >= max_wait {
                        return AttemptOutcome::Interrupted;
                    }
                    stall.as_mut().reset(last_frame_at + max_wait);
                }
            }
        }
    }

    /// Processes a frame; returns true if it brought new tokens.
    fn take_frame(
        &mut self,
        upstream: &ChosenUpstream,
        attempt: u32,
        frame: CompletionFrame,
        opened_ms: u64,
    ) -> bool {
        if frame.request_id != self.spec.id.uuid() {
            return false;
        }
        if let Some(usage) = frame.usage {
            self.record_usage(upstream, usage);
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
        self.score.record_tokens(tokens.len(), now);
        if first && attempt == 1 {
            self.record_first_token(upstream, now - opened_ms);
        }
        let still_owner = self.cell.change(|r| {
            let is_owner = r.is_owner() && r.epoch == self.epoch;
            if is_owner {
                r.commit(tokens);
            }
            is_owner
        });
        if still_owner {
            self.world.replicators.mark(self.world, self.cell);
        }
        true
    }

    fn record_usage(&mut self, upstream: &ChosenUpstream, usage: EngineUsage) {
        let computed = u64::from(usage.prompt_tokens.saturating_sub(usage.cached_tokens));
        if self.attempts > 1 || self.epoch > 1 {
            self.cell.change(|r| r.recomputed += computed);
            metrics::counter!("saddlepulley_recomputed_tokens_total").increment(computed);
        }
        self.score.computed_tokens += computed;
        let Some(work) = self.spec.model() else {
            return;
        };
        let hashes = prefix_hashes(&work.prompt);
        self.world.hints.lock().stored(&upstream.id, &hashes);
    }

    /// Gives the time to the first token, without the request's own prefill, to the upstream's
    /// adaptive concurrency limit as a sample.
    fn record_first_token(&self, upstream: &ChosenUpstream, ms: u64) {
        let mut stats = self.world.stats.lock();
        let s = stats.of(&upstream.id);
        let rate = s.load.as_ref().map_or(f64::MAX, |l| l.prefill_tokens_per_s);
        let prefill_ms = self.score.computed_tokens as f64 / rate.max(1.0) * 1_000.0;
        let in_flight = s.in_flight;
        s.limit.sample((ms as f64 - prefill_ms).max(1.0), in_flight);
    }

    fn is_stopped(&self) -> bool {
        let r = self.cell.read();
        !r.is_owner() || r.epoch != self.epoch || r.is_ended()
    }

    /// Prepares the next attempt after an interrupted one, at another upstream.
    ///
    /// This takes nothing from the retry budget: the request was accepted, and
    /// its upstream is gone, not overloaded.
    async fn after_interruption(&mut self, upstream: &ChosenUpstream) {
        self.exclude.insert(upstream.id.clone());
        let ms = full_jitter_ms(
            self.interruptions,
            BACKOFF_BASE_MS,
            BACKOFF_CAP_MS,
            &mut self.rng,
        );
        self.interruptions += 1;
        tokio::time::sleep(Duration::from_millis(ms.min(self.remaining_ms()))).await;
    }

    /// Handles a refused attempt; returns true if another attempt may follow.
    async fn after_refusal(&mut self, upstream: &ChosenUpstream, e: EngineError) -> bool {
        self.started |= !e.is_not_run();
        if e.is_not_connected() {
            avoid(self.world, upstream);
            self.exclude.insert(upstream.id.clone());
            return true;
        }
        if e.is_cut_off() {
            self.after_interruption(upstream).await;
            return true;
        }
        self.world.stats.lock().of(&upstream.id).limit.refused();
        let style = placement(&self.spec.policy).retry_style();
        if style == RetryStyle::Immediate || !self.world.settings.trial.budget {
            return true;
        }
        self.exclude.insert(upstream.id.clone());
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
        tokio::time::sleep(Duration::from_millis(ms.min(self.remaining_ms()))).await;
        true
    }

    /// Cancels the attempt at the upstream in the background.
    fn cancel(&self, upstream: &ChosenUpstream) {
        let naive = self.spec.policy.as_str() == NaivePlacement::NAME;
        if naive || !self.world.settings.trial.cancel {
            return;
        }
        // The box that took over the request may continue to read the answer of this upstream.
        if matches!(self.cell.read().role, Role::Moved { .. }) {
            return;
        }
        let engine = self.world.backends.engine.clone();
        let (address, id) = (upstream.address, self.spec.id.uuid());
        tokio::spawn(async move {
            let _ = engine.cancel(address, id).await;
        });
    }

    fn remaining_ms(&self) -> u64 {
        self.spec.deadline_ms.saturating_sub(now_ms())
    }

    fn finish(&self, ending: Ending) {
        finish(self.world, self.cell, ending, &self.score);
    }
}

/// Ends a request that this box owns, and records its figures under its placement policy.
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
