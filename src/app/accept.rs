use {
    super::{
        attempt::choose_spill,
        run_model::{finish, run_model},
        run_plain::run_plain,
        *,
    },
    crate::{contracts::Contract, engine::count_tokens, names::*, policy::*, requests::*},
    std::sync::Arc,
};

/// A client's request before admission.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The client account that sent it.
    pub account: ClientAccount,
    /// The service that is to run it.
    pub service: ServiceName,
    /// The work to run.
    pub work: Work,
    /// The idempotency key that the client sent; it becomes the request's identifier.
    pub key: Option<RequestId>,
    /// True if the request may run more than once; `None` if the client did not say, in
    /// which case the contract row decides.
    pub repeatable: Option<bool>,
    /// Time until the deadline, in milliseconds; `None` for the configured default.
    pub deadline_ms: Option<u64>,
    /// If set, the request is refused unless a copy is stored in another failure domain.
    pub cross_domain_only: bool,
}

/// An accepted request.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The request's identifier.
    pub id: RequestId,
    /// The deadline, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Where the copy is stored; `None` if the key attached to an earlier request.
    pub durability: Option<Durability>,
}

/// The refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status of the response.
    pub status: u16,
    /// What the client can rely on, such as that the request did not run.
    pub failure: Failure,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(status: u16, detail: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            status,
            failure: Failure::new(Outcome::NotRun, detail, retry_after_ms),
        }
    }

    /// Creates the refusal of a malformed request.
    pub fn malformed(status: u16, detail: impl Into<String>) -> Self {
        Self {
            status,
            failure: Failure::new(Outcome::Malformed, detail, 0),
        }
    }
}

/// Accepts a request, or refuses it without running it.
///
/// A key that is known already attaches to its earlier request.
///
/// # Errors
///
/// Returns the refusal.
pub async fn accept(world: &Arc<World>, sub: Submission) -> Result<Accepted, Refusal> {
    if let Some(accepted) = attach_locally(world, &sub)? {
        return Ok(accepted);
    }
    if !world.is_ready() {
        return Err(Refusal::not_run(
            503,
            "this box takes no new requests",
            1_000,
        ));
    }
    if world.admission.running() >= world.settings.requests.max_requests {
        return Err(Refusal::not_run(503, "this box is full", 1_000));
    }
    let table = world.active_table();
    let row = table.row(&sub.account, &sub.service, world.my_domain());
    let Some(c) = row else {
        let detail = format!(
            "no row for service `{}` in this failure domain",
            sub.service
        );
        return Err(Refusal::malformed(404, detail));
    };
    check_kind(world, &sub)?;
    let repeatable = sub.repeatable.unwrap_or(c.repeatable);
    check_key(world, &sub, repeatable)?;
    if let Some(accepted) = attach_remotely(world, &sub, repeatable).await {
        return Ok(accepted);
    }
    let spec = Arc::new(make_spec(world, &sub, c, repeatable));
    let naive = spec.policy.as_str() == NaivePlacement::NAME;
    let spill = choose_spill(world, &spec);
    let fair = !naive && spill.is_none() && world.settings.trial.queue;
    let tokens = charged_tokens(&spec);
    let deadline_ms = spec.deadline_ms;
    let admitted = AdmissionControl::admit(world, c, tokens, deadline_ms, fair).await;
    let admitted = admitted.map_err(|r| refusal_of(&r))?;
    credit_retry_budget(world, &spec);
    let request = AdmittedRequest {
        spec,
        admitted,
        spill,
        cross_domain_only: sub.cross_domain_only,
    };
    request.start(world).await
}

/// Returns the tokens that a request is charged with: its prompt plus its maximum output
/// for a model, none for a plain service.
pub fn charged_tokens(spec: &RequestSpec) -> f64 {
    match &spec.work {
        Work::Model(work) => f64::from(count_tokens(&work.prompt) + work.max_tokens),
        Work::Plain(_) => 0.0,
    }
}

/// Runs a request that this box owns. `right` is an execution right that another box
/// handed over, if any.
pub async fn run(world: Arc<World>, cell: Arc<RequestCell>, right: Option<Claimant>) {
    let is_model = cell.spec().model().is_some();
    if is_model && cell.spec().repeatable {
        run_model(&world, &cell).await;
    } else {
        run_plain(&world, &cell, right).await;
    }
}

/// An admitted request that has not started.
struct AdmittedRequest {
    spec: Arc<RequestSpec>,
    admitted: Admitted,
    /// The failure domain that it is moved to before it runs here, if any.
    spill: Option<FailureDomain>,
    cross_domain_only: bool,
}

impl AdmittedRequest {
    async fn start(self, world: &Arc<World>) -> Result<Accepted, Refusal> {
        let record = Record::new(self.spec.clone(), Role::Owner, 1, now_ms());
        let (cell, inserted) = world.requests.insert(record);
        if !inserted {
            // Two requests with the same key arrived concurrently: both attach to one answer.
            return Ok(self.accepted(None));
        }
        let _reader = cell.reader();
        let repeatable_model = self.spec.model().is_some() && self.spec.repeatable;
        if repeatable_model && !self.cross_domain_only {
            // The request runs while its copy is being sent. The client gets no token before
            // the copy holds it.
            let accepted = self.accepted(None);
            self.spawn(world, &cell);
            let durability = Some(hold(world, &cell, None).await);
            world.replicators.mark(world, &cell);
            return Ok(Accepted {
                durability,
                ..accepted
            });
        }
        let durability = hold(world, &cell, None).await;
        if self.cross_domain_only && durability != Durability::CrossDomain {
            return Err(refuse_without_cross_domain_copy(world, &cell));
        }
        let accepted = self.accepted(Some(durability));
        self.spawn(world, &cell);
        Ok(accepted)
    }

    fn accepted(&self, durability: Option<Durability>) -> Accepted {
        Accepted {
            id: self.spec.id,
            deadline_ms: self.spec.deadline_ms,
            durability,
        }
    }

    fn spawn(self, world: &Arc<World>, cell: &Arc<RequestCell>) {
        let world = world.clone();
        let cell = cell.clone();
        tokio::spawn(async move {
            let moved = match &self.spill {
                Some(domain) => move_to_domain(&world, &cell, domain).await,
                None => false,
            };
            if !moved {
                run(world, cell, None).await;
            }
            drop(self.admitted);
        });
    }
}

/// Refuses a request for which the client requires a copy in another failure domain.
///
/// The request is ended here and on the holder of its copy; otherwise the holder could
/// take the owner for lost and run the request.
fn refuse_without_cross_domain_copy(world: &Arc<World>, cell: &Arc<RequestCell>) -> Refusal {
    let refusal = Refusal::not_run(503, "no other failure domain can be reached", 2_000);
    let ending = Ending::Failed(refusal.failure.clone());
    finish(world, cell, ending, &RunScore::new(&cell.spec()));
    refusal
}

/// Attaches to the request of the same key on this box.
///
/// A request that ended `not-run` is removed, so that its key can be sent again and starts
/// a new request.
fn attach_locally(world: &World, sub: &Submission) -> Result<Option<Accepted>, Refusal> {
    let Some(key) = sub.key else { return Ok(None) };
    let Some(cell) = world.requests.get(key) else {
        return Ok(None);
    };
    let r = cell.read();
    if r.spec.account != sub.account {
        return Err(Refusal::malformed(409, "the key is in use"));
    }
    if r.spec.service != sub.service || r.spec.work != sub.work {
        return Err(Refusal::malformed(
            422,
            "the key was sent with another request before",
        ));
    }
    let deadline_ms = r.spec.deadline_ms;
    let not_run = r.is_not_run();
    drop(r);
    if not_run {
        world.requests.remove(key);
        return Ok(None);
    }
    Ok(Some(Accepted {
        id: key,
        deadline_ms,
        durability: None,
    }))
}

/// Attaches to the request of the same key on another box.
///
/// Only the key of a repeatable request is looked up, on the boxes that would hold its copy.
/// For a request that is not repeatable the claim log decides.
async fn attach_remotely(world: &World, sub: &Submission, repeatable: bool) -> Option<Accepted> {
    let key = sub.key.filter(|_| repeatable)?;
    let found = locate(world, key, 0).await;
    let Found::At(owner) = found else { return None };
    if owner == world.me.id {
        return None;
    }
    let wait_ms = sub
        .deadline_ms
        .unwrap_or(world.settings.requests.deadline_ms);
    Some(Accepted {
        id: key,
        deadline_ms: now_ms() + wait_ms,
        durability: None,
    })
}

/// Refuses work for a service of the other kind (model or plain), if the service's boxes
/// are known.
fn check_kind(world: &World, sub: &Submission) -> Result<(), Refusal> {
    let (wanted, kind_text) = match &sub.work {
        Work::Model(_) => (BoxKind::Engine, "a model service"),
        Work::Plain(_) => (BoxKind::Plain, "a plain service"),
    };
    let boxes = world.boxes.read();
    let mut known = boxes.iter().filter(|b| b.service == sub.service).peekable();
    if known.peek().is_none() || known.any(|b| b.kind == wanted) {
        return Ok(());
    }
    Err(Refusal::malformed(
        404,
        format!("`{}` is not {kind_text}", sub.service),
    ))
}

fn check_key(world: &World, sub: &Submission, repeatable: bool) -> Result<(), Refusal> {
    let Some(key) = sub.key else {
        if repeatable {
            return Ok(());
        }
        let detail = "a call that may not be repeated needs an `Idempotency-Key` (UUIDv7)";
        return Err(Refusal::malformed(400, detail));
    };
    if is_in_window(world, key) {
        return Ok(());
    }
    Err(Refusal::malformed(
        400,
        "the key's time is outside the window",
    ))
}

fn make_spec(world: &World, sub: &Submission, c: &Contract, repeatable: bool) -> RequestSpec {
    let id = sub.key.unwrap_or_else(RequestId::fresh);
    let now = now_ms();
    let wait_ms = sub
        .deadline_ms
        .unwrap_or(world.settings.requests.deadline_ms);
    RequestSpec {
        id,
        account: sub.account.clone(),
        service: sub.service.clone(),
        work: sub.work.clone(),
        repeatable,
        deadline_ms: now + wait_ms,
        accepted_at_ms: now,
        policy: pick_policy(&c.policies, id),
        terms: Terms {
            first_token_ms: c.first_token_ms,
            between_tokens_ms: c.between_tokens_ms,
            class: c.class,
            retry_budget: c.retry_budget,
            priority: c.priority,
        },
        hops: 0,
    }
}

fn credit_retry_budget(world: &World, spec: &RequestSpec) {
    let key = (spec.account.clone(), spec.service.clone());
    let mut budgets = world.budgets.lock();
    budgets
        .entry(key)
        .or_default()
        .earn(spec.terms.retry_budget);
}

fn refusal_of(r: &Rejection) -> Refusal {
    let (status, detail) = match r {
        Rejection::Rate { .. } => (429, "the row's rate is used up"),
        Rejection::Concurrency { .. } => (429, "the row's concurrency is used up"),
        Rejection::Deadline { .. } => (503, "the deadline can't be met"),
    };
    Refusal::not_run(status, detail, r.retry_after_ms().max(1))
}
