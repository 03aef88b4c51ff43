use rand::Rng;

/// How much a request that runs at an upstream slows a new one, in milliseconds.
const PER_ACTIVE_MS: f64 = 3.0;
/// What an upstream costs that fails every request, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 3_000.0;
/// What a send into another zone costs, in milliseconds.
const OTHER_ZONE_MS: f64 = 4.0;
/// Spreads daemons that see the same figures, in milliseconds.
const JITTER_MS: f64 = 4.0;
/// What an upstream costs that has no free slot, in milliseconds.
const FULL_PENALTY_MS: f64 = 500.0;

/// An upstream that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it should be left alone if there is another.
    pub avoided: bool,
    /// Prompt tokens that wait there.
    pub waiting_tokens: u64,
    /// This request's tokens that it would have to read.
    pub unread_tokens: u64,
    /// Requests that run there.
    pub active: u32,
    /// How many it runs at once.
    pub slots: u32,
    /// The share of late requests that failed there.
    pub failure_rate: f64,
    /// Whether it stands in the daemon's zone.
    pub same_zone: bool,
}

impl Candidate {
    /// Estimates the time to the first event, penalties included, in milliseconds.
    fn cost_ms(&self, tokens_per_ms: f64) -> f64 {
        let tokens = (self.waiting_tokens + self.unread_tokens) as f64;
        let mut cost = tokens / tokens_per_ms;
        cost += f64::from(self.active) * PER_ACTIVE_MS;
        cost += self.failure_rate * FAILURE_PENALTY_MS;
        if !self.same_zone {
            cost += OTHER_ZONE_MS;
        }
        if self.active >= self.slots {
            cost += FULL_PENALTY_MS;
        }
        cost
    }
}

/// Chooses the cheapest candidate; returns its index.
pub fn choose_upstream(
    candidates: &[Candidate],
    tokens_per_ms: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let any_sound = candidates.iter().any(|c| !c.avoided);
    let usable = candidates.iter().enumerate();
    let usable = usable.filter(|(_, c)| !c.avoided || !any_sound);
    let costs = usable.map(|(index, c)| {
        let jitter = rng.random_range(0.0..JITTER_MS);
        (index, c.cost_ms(tokens_per_ms) + jitter)
    });
    let cheapest = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
    cheapest.map(|(index, _)| index)
}

/// Returns the rank of an upstream for a chain of prompt parts: the one with the
/// highest rank is the chain's home, on every daemon that knows the same ones.
pub fn home_rank(chain: u64, upstream: &str) -> u64 {
    let mut bytes = chain.to_le_bytes().to_vec();
    bytes.extend_from_slice(upstream.as_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
