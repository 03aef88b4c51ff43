use {
    super::World,
    crate::{contracts::ClassPreference, engine::*, names::*, policy::*, requests::*},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
};

/// Slots assumed for an upstream that has not reported its load yet.
const DEFAULT_SLOTS: u32 = 32;
/// Prefill speed assumed for an upstream that has not reported its load yet.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Duration of a decoding step assumed for an upstream that has not reported its load yet.
const DEFAULT_STEP_MS: f64 = 20.0;
/// Probability that a reclaimable box is reclaimed in the next second. One reclaim a
/// day on average is assumed for each reclaimable box.
const RECLAIMABLE_HAZARD_PER_S: f64 = 1.0 / 86_400.0;
/// Round-trip time assumed between a daemon and an upstream of its failure domain.
const ROUND_TRIP_MS: f64 = 1.0;
/// How long no request is sent to an upstream that refused a connection.
const AVOID_MS: u64 = 1_000;

/// An upstream that placement chose.
#[derive(Clone, Debug)]
pub struct ChosenUpstream {
    /// The upstream's box.
    pub id: BoxId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its price, in millionths of a currency unit per second.
    pub price_micros: u64,
}

impl ChosenUpstream {
    /// Creates it from the facts of a box.
    pub fn of(b: &BoxFact) -> Self {
        Self {
            id: b.id.clone(),
            address: b.address,
            price_micros: b.price_micros,
        }
    }
}

/// Returns what a request needs of a placement, given how many tokens it has generated.
pub fn request_needs(
    spec: &RequestSpec,
    generated: usize,
    exclude: BTreeSet<BoxId>,
) -> RequestNeeds {
    let (prompt_tokens, max_tokens) = match &spec.work {
        Work::Model(work) => (count_tokens(&work.prompt), work.max_tokens),
        Work::Plain(_) => (0, 1),
    };
    let generated_tokens = u32::try_from(generated).unwrap_or(u32::MAX);
    RequestNeeds {
        prompt_tokens,
        generated_tokens,
        expected_tokens: max_tokens.saturating_sub(generated_tokens).max(1),
        first_token_ms: f64::from(spec.terms.first_token_ms),
        between_tokens_ms: f64::from(spec.terms.between_tokens_ms),
        class: spec.terms.class,
        exclude,
    }
}

/// Returns the live upstreams of a service in a failure domain as placement sees them.
///
/// Leaves out upstreams that refused a connection a short time ago, and those that report
/// another model than the service's.
pub fn views(
    world: &World,
    service: &ServiceName,
    failure_domain: &FailureDomain,
    hashes: &[u64],
) -> Vec<(UpstreamView, ChosenUpstream)> {
    let now = now_ms();
    let boxes = world.boxes.read();
    let mut stats = world.stats.lock();
    let hints = world.hints.lock();
    boxes
        .upstreams(service, failure_domain)
        .filter_map(|b| {
            let s = stats.of(&b.id);
            let loaded = s
                .load
                .as_ref()
                .is_none_or(|l| *l.model == *b.service.as_str());
            if s.avoid_until_ms > now || !loaded {
                return None;
            }
            let cached_tokens = hints.cached_tokens(&b.id, hashes);
            Some((
                view_of(b, s, cached_tokens, world.settings.trial.limit),
                ChosenUpstream::of(b),
            ))
        })
        .collect()
}

fn view_of(
    b: &BoxFact,
    s: &crate::boxes::UpstreamStats,
    cached_tokens: u32,
    limited: bool,
) -> UpstreamView {
    let load = s.load.as_ref();
    let limit = if limited { s.limit.limit() } else { u32::MAX };
    UpstreamView {
        id: b.id.clone(),
        address: b.address,
        class: b.class,
        price_micros: b.price_micros,
        slots: load.map_or(DEFAULT_SLOTS, |l| l.slots),
        running: load.map_or(0, |l| l.running),
        waiting: load.map_or(0, |l| l.waiting),
        unreported: s.unreported(),
        in_flight: s.in_flight,
        limit,
        prefill_tokens_per_s: load.map_or(DEFAULT_PREFILL_TOKENS_PER_S, |l| l.prefill_tokens_per_s),
        step_ms: load.map_or(DEFAULT_STEP_MS, |l| l.step_ms),
        step_ms_per_request: load.map_or(0.0, |l| l.step_ms_per_request),
        round_trip_ms: ROUND_TRIP_MS,
        hazard_per_s: match b.class {
            BoxClass::Reclaimable => RECLAIMABLE_HAZARD_PER_S,
            BoxClass::OnDemand => 0.0,
        },
        cached_tokens,
    }
}

/// Chooses another failure domain for a request that would miss its latency target in
/// this one.
pub fn choose_spill(world: &World, spec: &RequestSpec) -> Option<FailureDomain> {
    if spec.policy.as_str() == NaivePlacement::NAME || !world.settings.trial.spill {
        return None;
    }
    let work = spec.model()?;
    let hashes = prefix_hashes(&work.prompt);
    let upstreams_of = |failure_domain: &FailureDomain| {
        let views = views(world, &spec.service, failure_domain, &hashes);
        DomainUpstreams {
            failure_domain: failure_domain.clone(),
            upstreams: views.into_iter().map(|(view, _)| view).collect(),
        }
    };
    let domains = world.boxes.read().domains_with(&spec.service);
    let others = domains.iter().filter(|d| *d != world.my_domain());
    let others: Vec<DomainUpstreams> = others.map(upstreams_of).collect();
    let here = upstreams_of(world.my_domain());
    let waiting = world.admission.waiting_for(&spec.service);
    let needs = request_needs(spec, 0, BTreeSet::new());
    spill(&needs, &here, waiting, &others, &mut world.fork_rng())
}

/// Chooses an upstream for a request by its placement policy.
pub fn choose(
    world: &World,
    spec: &RequestSpec,
    generated: usize,
    exclude: &BTreeSet<BoxId>,
    rng: &mut dyn rand::RngCore,
) -> Option<ChosenUpstream> {
    let hashes = spec
        .model()
        .map_or_else(Vec::new, |w| prefix_hashes(&w.prompt));
    let (views, upstreams): (Vec<_>, Vec<_>) =
        views(world, &spec.service, world.my_domain(), &hashes)
            .into_iter()
            .unzip();
    let needs = request_needs(spec, generated, exclude.clone());
    let policy = placement(&spec.policy);
    let chosen = policy
        .choose(&needs, &views, rng)
        .or_else(|| choose_relaxed(&needs, &views, &*policy, rng))?;
    Some(upstreams[chosen].clone())
}

/// Chooses an upstream without regard to the preferred class, when no upstream of that
/// class is available: getting an answer matters more than its price.
fn choose_relaxed(
    needs: &RequestNeeds,
    views: &[UpstreamView],
    policy: &dyn Placement,
    rng: &mut dyn rand::RngCore,
) -> Option<usize> {
    if needs.class == ClassPreference::Any {
        return None;
    }
    let relaxed = RequestNeeds {
        class: ClassPreference::Any,
        ..needs.clone()
    };
    policy.choose(&relaxed, views, rng)
}

/// Excludes an upstream that refused a connection from placement for [`AVOID_MS`].
pub fn avoid(world: &World, upstream: &ChosenUpstream) {
    let mut stats = world.stats.lock();
    stats.of(&upstream.id).avoid_until_ms = now_ms() + AVOID_MS;
}

/// Spends a retry from the retry budget of a request's row. Returns false if the budget
/// is used up.
pub fn spend_retry(world: &World, spec: &RequestSpec) -> bool {
    let key = (spec.account.clone(), spec.service.clone());
    world.budgets.lock().entry(key).or_default().spend()
}

/// An attempt in flight at an upstream. Dropping it ends the count.
pub struct InFlight {
    world: Arc<World>,
    upstream: ChosenUpstream,
    started_ms: u64,
}

impl InFlight {
    /// Counts a new attempt at an upstream.
    pub fn start(world: &Arc<World>, upstream: &ChosenUpstream) -> Self {
        let now = now_ms();
        world.stats.lock().of(&upstream.id).start(now);
        metrics::counter!("saddlepulley_dispatches_total").increment(1);
        Self {
            world: world.clone(),
            upstream: upstream.clone(),
            started_ms: now,
        }
    }

    /// Returns the attempt's share of the upstream's price so far, in millionths of a
    /// currency unit: the price of the elapsed time, divided by the number of requests that
    /// run on the upstream now.
    pub fn cost_micros(&self) -> f64 {
        let concurrent = {
            let stats = self.world.stats.lock();
            let s = stats.get(&self.upstream.id);
            s.map_or(1, |s| {
                s.load.as_ref().map_or(0, |l| l.running).max(s.in_flight)
            })
        };
        let seconds = now_ms().saturating_sub(self.started_ms) as f64 / 1_000.0;
        self.upstream.price_micros as f64 * seconds / f64::from(concurrent.max(1))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.world.stats.lock().of(&self.upstream.id).end();
    }
}
