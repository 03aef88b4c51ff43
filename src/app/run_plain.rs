use {
    super::{attempt::*, run_model::finish, *},
    crate::{
        clock::{BootInstant, timeout_at},
        engine::*,
        names::*,
        policy::*,
        requests::*,
    },
    http::{HeaderMap, HeaderValue},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_CAP_MS: u64 = 1_000;
/// Upper bound on the attempts for a call that may run only once. A further attempt follows only
/// an attempt that was refused before its start.
const MAX_ATTEMPTS: u32 = 8;

/// The outcome of one call to an upstream.
enum CallOutcome {
    Answer(Ending),
    Failed(EngineError),
}

/// Runs a call to a plain service, or a model request that isn't repeatable.
pub async fn run_plain(world: &Arc<World>, cell: &Arc<RequestCell>, right: Option<Claimant>) {
    let spec = cell.spec();
    if !cell.read().is_owner() {
        return;
    }
    if !has_upstream(world, &spec) && move_to_other_domain(world, cell).await {
        return;
    }
    if spec.repeatable {
        return run_repeatable(world, cell).await;
    }
    let claimant = match right {
        Some(claimant) => claimant,
        None => match claim_or_end(world, cell).await {
            Some(claimant) => claimant,
            None => return,
        },
    };
    run_once(world, cell, claimant).await;
}

/// Runs a repeatable call: each failure may be retried within the retry budget.
async fn run_repeatable(world: &Arc<World>, cell: &Arc<RequestCell>) {
    let spec = cell.spec();
    let mut score = RunScore::new(&spec);
    let mut rng = world.fork_rng();
    let mut exclude = BTreeSet::new();
    let mut may_have_run = cell.read().epoch > 1;
    let mut retries = 0;
    let failure = loop {
        if !cell.read().is_owner() {
            return;
        }
        if now_ms() >= spec.deadline_ms {
            break expired(may_have_run);
        }
        let Some(upstream) = choose(world, &spec, 0, &exclude, &mut rng) else {
            if exclude.is_empty() {
                break Failure::new(not_run_or_unknown(!may_have_run), "no upstream", 1_000);
            }
            exclude.clear();
            continue;
        };
        let e = match call(world, cell, &upstream, None, &mut score).await {
            CallOutcome::Answer(ending) => return finish(world, cell, ending, &score),
            CallOutcome::Failed(e) => e,
        };
        may_have_run |= !e.is_not_run();
        record_failure(world, &upstream, &e);
        exclude.insert(upstream.id.clone());
        let immediate = placement(&spec.policy).retry_style() == RetryStyle::Immediate;
        if immediate || e.is_not_connected() {
            continue;
        }
        if !spend_retry(world, &spec) {
            let detail = format!("no retry is left: {e}");
            break Failure::new(not_run_or_unknown(!may_have_run), detail, 1_000);
        }
        let ms = full_jitter_ms(retries, BACKOFF_BASE_MS, BACKOFF_CAP_MS, &mut rng);
        retries += 1;
        tokio::time::sleep(Duration::from_millis(ms)).await;
    };
    finish(world, cell, Ending::Failed(failure), &score);
}

/// Runs a call that may run only once: it is sent to another upstream only after a failure that
/// proves that it did not start.
async fn run_once(world: &Arc<World>, cell: &Arc<RequestCell>, mut claimant: Claimant) {
    let spec = cell.spec();
    let mut score = RunScore::new(&spec);
    let mut rng = world.fork_rng();
    let mut exclude = BTreeSet::new();
    for _ in 0..MAX_ATTEMPTS {
        let usable = cell.read().is_owner() && now_ms() < spec.deadline_ms;
        let upstream = choose(world, &spec, 0, &exclude, &mut rng).filter(|_| usable);
        let Some(upstream) = upstream else { break };
        let ClaimantState::Holds(right) = claimant.state().clone() else {
            break;
        };
        let ClaimCommand::Dispatch(fence) = claimant.dispatch() else {
            break;
        };
        let e = match call(world, cell, &upstream, Some(fence), &mut score).await {
            CallOutcome::Answer(ending) => return finish(world, cell, ending, &score),
            CallOutcome::Failed(e) => e,
        };
        record_failure(world, &upstream, &e);
        if !e.is_not_run() {
            let failure = Failure::new(Outcome::MayHaveRun, e.to_string(), 0);
            return finish(world, cell, Ending::Failed(failure), &score);
        }
        claimant.not_started(right);
        exclude.insert(upstream.id.clone());
    }
    world.claims.give_up(&mut claimant);
    let failure = Failure::new(Outcome::NotRun, "no upstream took the call", 1_000);
    finish(world, cell, Ending::Failed(failure), &score);
}

/// Claims the right to run the request; ends the request here if another box holds that right or
/// the log is unreachable.
async fn claim_or_end(world: &Arc<World>, cell: &Arc<RequestCell>) -> Option<Claimant> {
    let spec = cell.spec();
    let key = ClaimKey {
        account: spec.account.clone(),
        request: spec.id,
    };
    if !world.settings.trial.claims {
        return Some(unclaimed(world, key));
    }
    match claim(world, &key).await {
        ClaimOutcome::Holds(claimant) => Some(claimant),
        ClaimOutcome::Lost(by) => {
            yield_to_claimant(world, cell, &key, by).await;
            None
        }
        ClaimOutcome::GivenUp => {
            let outcome = outcome_without_log(world, spec.id).await;
            let failure = Failure::new(outcome, "the right to run it could not be had", 2_000);
            finish(world, cell, Ending::Failed(failure), &RunScore::new(&spec));
            None
        }
    }
}

/// Returns a claim that isn't in the log, for trials without claims.
fn unclaimed(world: &World, key: ClaimKey) -> Claimant {
    let nonce = uuid::Uuid::new_v4();
    let mut claims = KeyClaims::default();
    let (mut claimant, record) = Claimant::start(key, nonce, world.me.clone());
    claims.fold(0, &record);
    claimant.observe(&claims);
    claimant
}

/// Returns the outcome of a request whose claim could not be written to the log.
///
/// The request did not run elsewhere if none of the boxes that would hold its
/// copy knows of another owner.
async fn outcome_without_log(world: &World, id: RequestId) -> Outcome {
    match locate(world, id, 0).await {
        Found::At(owner) if owner == world.me.id => Outcome::NotRun,
        Found::Nowhere => Outcome::NotRun,
        Found::At(_) | Found::Unsure => Outcome::MayHaveRun,
    }
}

/// Leaves the request to the box whose claim was first; the answer is read from that box.
async fn yield_to_claimant(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    key: &ClaimKey,
    by: BoxIncarnation,
) {
    let failure = if by.id == world.me.id {
        // An earlier incarnation of this box claimed the request; how far it ran is unknown.
        Failure::new(Outcome::MayHaveRun, "the box that had the right is gone", 0)
    } else if given_up_elsewhere(world, key, &by).await {
        Failure::new(Outcome::NotRun, "another box gave the request up", 500)
    } else {
        cell.change_owner(|r| r.role = Role::Moved { to: by.id });
        return;
    };
    finish(
        world,
        cell,
        Ending::Failed(failure),
        &RunScore::new(&cell.spec()),
    );
}

/// Returns true if the box that holds the claim answers that it gave the request up.
async fn given_up_elsewhere(world: &World, key: &ClaimKey, by: &BoxIncarnation) -> bool {
    let query = crate::peer::PeerCall::QueryClaim(key.clone());
    let reply = world
        .call_box(&by.id, &query, Duration::from_millis(800))
        .await;
    matches!(reply, Ok(crate::peer::PeerReply::Refused(_)))
}

/// Sends the request to one upstream, and adds the cost to the score.
async fn call(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    upstream: &ChosenUpstream,
    fence: Option<u64>,
    score: &mut RunScore,
) -> CallOutcome {
    let spec = cell.spec();
    cell.change(|r| r.upstream = Some(upstream.id.clone()));
    let in_flight = InFlight::start(world, upstream);
    let remaining = Duration::from_millis(spec.deadline_ms.saturating_sub(now_ms()));
    let end = match &spec.work {
        Work::Plain(call) => {
            let headers = headers_of(&spec, fence);
            let answer = world
                .backends
                .plain
                .call(upstream.address, call, headers, remaining)
                .await;
            match answer {
                Ok(answer) => CallOutcome::Answer(Ending::Plain(answer)),
                Err(e) => CallOutcome::Failed(e),
            }
        }
        Work::Model(work) => run_model_once(world, cell, upstream, work, remaining).await,
    };
    score.cost_micros += in_flight.cost_micros();
    score.record_tokens(1, now_ms());
    end
}

/// Runs a model request that isn't repeatable: one attempt, without resuming an interrupted answer.
async fn run_model_once(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    upstream: &ChosenUpstream,
    work: &ModelWork,
    remaining: Duration,
) -> CallOutcome {
    let mut splice = Splice::default();
    let attempt = splice.next_attempt();
    let request = CompletionRequest {
        request_id: cell.id().uuid(),
        attempt,
        prompt: &work.prompt,
        generated: &[],
        max_tokens: work.max_tokens as usize,
        priority: 0,
    };
    let mut frames = match world
        .backends
        .engine
        .complete(upstream.address, request)
        .await
    {
        Ok(frames) => frames,
        Err(e) => return CallOutcome::Failed(e),
    };
    let deadline = BootInstant::now() + remaining;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, frames.recv()).await {
        let tokens = splice.take(AnswerChunk {
            attempt: frame.attempt,
            offset: frame.offset,
            tokens: frame.tokens,
            total: frame.total,
        });
        cell.change(|r| r.commit(tokens));
        world.replicators.mark(world, cell);
        if splice.is_complete() {
            let total = splice.committed();
            return CallOutcome::Answer(Ending::Whole { total });
        }
    }
    CallOutcome::Failed(EngineError::CutOff)
}

fn headers_of(spec: &RequestSpec, fence: Option<u64>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let id = spec.id.to_string();
    if let Ok(v) = HeaderValue::from_str(&id) {
        headers.insert("idempotency-key", v);
    }
    if let Some(fence) = fence {
        headers.insert("fencing-token", HeaderValue::from(fence));
    }
    headers
}

fn has_upstream(world: &World, spec: &RequestSpec) -> bool {
    let boxes = world.boxes.read();
    boxes
        .upstreams(&spec.service, world.my_domain())
        .next()
        .is_some()
}

fn record_failure(world: &World, upstream: &ChosenUpstream, e: &EngineError) {
    if e.is_not_connected() {
        avoid(world, upstream);
    } else {
        world.stats.lock().of(&upstream.id).limit.refused();
    }
}

fn not_run_or_unknown(not_run: bool) -> Outcome {
    if not_run {
        Outcome::NotRun
    } else {
        Outcome::MayHaveRun
    }
}

fn expired(may_have_run: bool) -> Failure {
    let outcome = if may_have_run {
        Outcome::Expired
    } else {
        Outcome::NotRun
    };
    Failure::new(outcome, "the deadline passed", 0)
}
