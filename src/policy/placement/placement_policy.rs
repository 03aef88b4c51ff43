use {
    crate::policy::*,
    crate::{contracts::ClassPreference, names::*},
    rand::RngCore,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// The names of all placement policies, for checks of the table.
pub const POLICY_NAMES: [&str; 3] = [NaivePlacement::NAME, CheapestOnTarget::NAME, KeepWork::NAME];

/// What is known of an upstream when a request is placed.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// The box.
    pub id: BoxId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The price class.
    pub class: BoxClass,
    /// Price in millionths of a currency unit per second.
    pub price_micros: u64,
    /// How many requests it decodes at once.
    pub slots: u32,
    /// Requests running, by its last report.
    pub running: u32,
    /// Requests waiting, by its last report.
    pub waiting: u32,
    /// Own dispatches that the last report can't have counted yet.
    pub unreported: u32,
    /// Own requests in flight there.
    pub in_flight: u32,
    /// The most own requests at once, from the adaptive limit.
    pub limit: u32,
    /// Prompt tokens it takes in a second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds between tokens with one request running.
    pub step_ms: f64,
    /// Milliseconds that each further request adds to a step.
    pub step_ms_per_request: f64,
    /// Time to reach it and back, in milliseconds.
    pub round_trip_ms: f64,
    /// Chance of being taken back in the next second.
    pub hazard_per_s: f64,
    /// Leading tokens of the request's prompt that it is thought to have cached.
    pub cached_tokens: u32,
}

/// What a request asks of a place.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestNeeds {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated so far by earlier attempts.
    pub generated_tokens: u32,
    /// Tokens still expected.
    pub expected_tokens: u32,
    /// Target for the first token in milliseconds.
    pub first_token_ms: f64,
    /// Target between tokens in milliseconds.
    pub between_tokens_ms: f64,
    /// Which class it may run on.
    pub class: ClassPreference,
    /// Boxes that this request just failed on.
    pub exclude: BTreeSet<BoxId>,
}

impl RequestNeeds {
    /// Returns whether an upstream may be chosen at all.
    pub fn allows(&self, u: &UpstreamView) -> bool {
        let class = match self.class {
            ClassPreference::Any => true,
            ClassPreference::OnDemand => u.class == BoxClass::OnDemand,
            ClassPreference::Reclaimable => u.class == BoxClass::Reclaimable,
        };
        class && !self.exclude.contains(&u.id)
    }
}

/// How a policy retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStyle {
    /// At once, without a budget.
    Immediate,
    /// Within the row's budget, with full jitter.
    Budgeted,
}

/// How a policy moves a stream off a leaving upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStyle {
    /// Starts again from the prompt and what was generated.
    Recompute,
    /// Exports the KV cache first if there is time.
    KeepCache,
}

/// Decides where a request runs.
pub trait Placement: Send + Sync {
    /// Returns the policy's name in the table.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen upstream, or none if no one will do.
    fn choose(
        &self,
        needs: &RequestNeeds,
        upstreams: &[UpstreamView],
        rng: &mut dyn RngCore,
    ) -> Option<usize>;

    /// Returns how the policy retries.
    fn retry_style(&self) -> RetryStyle {
        RetryStyle::Budgeted
    }

    /// Returns how the policy moves streams off a leaving upstream.
    fn move_style(&self) -> MoveStyle {
        MoveStyle::KeepCache
    }
}

/// Returns the policy of a name.
pub fn placement(name: &PolicyName) -> Box<dyn Placement> {
    match name.as_str() {
        NaivePlacement::NAME => Box::new(NaivePlacement),
        KeepWork::NAME => Box::new(KeepWork),
        _ => Box::new(CheapestOnTarget),
    }
}

/// Picks a policy by the row's shares. The same request always gets the same
/// one, on whichever box it is decided.
pub fn pick_policy(
    shares: &std::collections::BTreeMap<PolicyName, u32>,
    request: RequestId,
) -> PolicyName {
    let total: u64 = shares.values().map(|s| u64::from(*s)).sum();
    let mut at = (request.uuid().as_u128() % u128::from(total.max(1))) as u64;
    for (name, share) in shares {
        if at < u64::from(*share) {
            return name.clone();
        }
        at -= u64::from(*share);
    }
    PolicyName::from(CheapestOnTarget::NAME)
}

/// Returns the indexes of the upstreams that an ask allows and that are under
/// their adaptive limit.
pub fn candidates(needs: &RequestNeeds, upstreams: &[UpstreamView]) -> Vec<usize> {
    let good = |u: &UpstreamView| needs.allows(u) && u.in_flight < u.limit;
    (0..upstreams.len())
        .filter(|i| good(&upstreams[*i]))
        .collect()
}

/// Returns the index with the smallest score; ties go to a random one.
pub fn lowest(
    indexes: &[usize],
    rng: &mut dyn RngCore,
    score: impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut best: Option<(f64, u32, usize)> = None;
    for i in indexes {
        let entry = (score(*i), rng.next_u32(), *i);
        let better = match &best {
            None => true,
            Some(b) => (entry.0, entry.1) < (b.0, b.1),
        };
        if better {
            best = Some(entry);
        }
    }
    best.map(|(_, _, i)| i)
}
