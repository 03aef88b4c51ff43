use {
    crate::policy::*,
    crate::{contracts::ClassPreference, names::*},
    rand::RngCore,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// The names of all placement policies. The routing table may name only these.
pub const POLICY_NAMES: [&str; 3] = [NaivePlacement::NAME, CheapestOnTarget::NAME, KeepWork::NAME];

/// The state of an upstream as known when a request is placed.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// The box that the upstream runs on.
    pub id: BoxId,
    /// The address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// The price class of the box.
    pub class: BoxClass,
    /// Price in millionths of a currency unit per second.
    pub price_micros: u64,
    /// Requests that the upstream decodes concurrently at most.
    pub slots: u32,
    /// Running requests, according to the upstream's last report.
    pub running: u32,
    /// Queued requests, according to the upstream's last report.
    pub waiting: u32,
    /// Requests that this daemon dispatched too recently for the last report to count them.
    pub unreported: u32,
    /// This daemon's requests in flight at the upstream.
    pub in_flight: u32,
    /// Upper bound of `in_flight`, set by the adaptive concurrency limit.
    pub limit: u32,
    /// Prompt tokens that the upstream processes per second.
    pub prefill_tokens_per_s: f64,
    /// Time between tokens while one request runs, in milliseconds.
    pub step_ms: f64,
    /// Time that each further running request adds to a decoding step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Network round-trip time, in milliseconds.
    pub round_trip_ms: f64,
    /// Hazard rate of a reclaim of the box, per second.
    pub hazard_per_s: f64,
    /// Leading tokens of the request's prompt that the upstream is expected to have cached.
    pub cached_tokens: u32,
}

/// The requirements of a request that decide where it can be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestNeeds {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens that earlier attempts have generated.
    pub generated_tokens: u32,
    /// Tokens that are expected to be generated yet.
    pub expected_tokens: u32,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Price classes of boxes that the request may run on.
    pub class: ClassPreference,
    /// Boxes that are not used, since earlier attempts of this request failed on them.
    pub exclude: BTreeSet<BoxId>,
}

impl RequestNeeds {
    /// Returns whether the upstream's price class is allowed and its box is not excluded.
    pub fn allows(&self, u: &UpstreamView) -> bool {
        let class = match self.class {
            ClassPreference::Any => true,
            ClassPreference::OnDemand => u.class == BoxClass::OnDemand,
            ClassPreference::Reclaimable => u.class == BoxClass::Reclaimable,
        };
        class && !self.exclude.contains(&u.id)
    }
}

/// When a policy retries a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStyle {
    /// Immediately, without a retry budget.
    Immediate,
    /// Within the retry budget of the table's row, after a backoff with full jitter.
    Budgeted,
}

/// How a policy moves a stream away from an upstream that is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStyle {
    /// Recomputes the prompt and the tokens generated so far on the new upstream.
    Recompute,
    /// Exports the KV cache to the new upstream if there is enough time.
    KeepCache,
}

/// A policy that decides which upstream runs a request.
pub trait Placement: Send + Sync {
    /// Returns the policy's name in the routing table.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen upstream, or `None` if no upstream is suitable.
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

/// Returns the policy with the given name, or [`CheapestOnTarget`] if there is none.
pub fn placement(name: &PolicyName) -> Box<dyn Placement> {
    match name.as_str() {
        NaivePlacement::NAME => Box::new(NaivePlacement),
        KeepWork::NAME => Box::new(KeepWork),
        _ => Box::new(CheapestOnTarget),
    }
}

/// Picks a policy in proportion to the shares of the table's row. The choice depends on
/// the request ID only, so every box picks the same policy for a request.
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

/// Returns the indexes of the upstreams that the request allows and that are below their
/// adaptive concurrency limit.
pub fn candidates(needs: &RequestNeeds, upstreams: &[UpstreamView]) -> Vec<usize> {
    let is_usable = |u: &UpstreamView| needs.allows(u) && u.in_flight < u.limit;
    (0..upstreams.len())
        .filter(|i| is_usable(&upstreams[*i]))
        .collect()
}

/// Returns the index with the lowest score; ties are broken at random.
pub fn index_of_lowest(
    indexes: &[usize],
    rng: &mut dyn RngCore,
    score: impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut best: Option<(f64, u32, usize)> = None;
    for i in indexes {
        let scored = (score(*i), rng.next_u32(), *i);
        let better = match &best {
            None => true,
            Some(b) => (scored.0, scored.1) < (b.0, b.1),
        };
        if better {
            best = Some(scored);
        }
    }
    best.map(|(_, _, i)| i)
}
