use {crate::policy::EngineTimes, rand::Rng};

/// How much a request that runs at an upstream slows a new one's first event, as
/// a share of the time that it takes there alone. Small: it only decides between
/// upstreams that have as much to read.
const ACTIVE_SLOWDOWN: f64 = 0.03;
/// What an upstream costs that fails every request, in latencies that the
/// route wants: a failed request is tried again or lost.
const FAILURE_PENALTY: f64 = 6.0;
/// What a send into another domain costs, in milliseconds: some ways there and
/// back inside a region, and the price of the bytes.
const OTHER_DOMAIN_MS: f64 = 4.0;
/// Spreads daemons that see the same figures, in milliseconds.
const JITTER_MS: f64 = 4.0;

/// An upstream that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether the request was sent there already: not again.
    pub tried: bool,
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
    /// Whether it stands in the daemon's domain.
    pub same_domain: bool,
}

impl Candidate {
    /// Estimates the time to the first event, penalties included, in milliseconds.
    fn cost_ms(&self, times: &EngineTimes, target_ms: f64) -> f64 {
        let tokens = (self.waiting_tokens + self.unread_tokens) as f64;
        let mut cost = tokens * times.ms_per_token;
        cost += f64::from(self.active) * times.first_event_ms * ACTIVE_SLOWDOWN;
        cost += self.failure_rate * target_ms * FAILURE_PENALTY;
        if !self.same_domain {
            cost += OTHER_DOMAIN_MS;
        }
        cost + self.slot_wait_ms(times)
    }

    /// Estimates how long a request waits for a slot: a full upstream frees as
    /// many as it has in the time that one request stays.
    fn slot_wait_ms(&self, times: &EngineTimes) -> f64 {
        let slots = self.slots.max(1);
        let ahead = (self.active + 1).saturating_sub(slots);
        f64::from(ahead) * times.stay_ms / f64::from(slots)
    }
}

/// Chooses the cheapest candidate for a request that wants its first event
/// within `target_ms`; returns its index.
pub fn choose_upstream(
    candidates: &[Candidate],
    times: &EngineTimes,
    target_ms: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let any_sound = candidates.iter().any(|c| !c.tried && !c.avoided);
    let usable = candidates.iter().enumerate();
    let usable = usable.filter(|(_, c)| !c.tried && (!c.avoided || !any_sound));
    // One draw for all: a draw each costs as much as the rest of a choice.
    let drawn: u64 = rng.random();
    let costs = usable.map(|(index, c)| {
        let part = mixed(drawn ^ index as u64) as f64 / u64::MAX as f64;
        (index, c.cost_ms(times, target_ms) + part * JITTER_MS)
    });
    let cheapest = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
    cheapest.map(|(index, _)| index)
}

/// Returns the hash of a name: the same on every daemon.
pub fn name_hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

/// Returns the rank of an upstream, by the hash of its name, for a chain of prompt parts: the one with the
/// highest rank is the chain's home, on every daemon that knows the same ones.
pub fn home_rank(chain: u64, upstream: u64) -> u64 {
    mixed(mixed(chain) ^ upstream)
}

/// Spreads the bits of a number evenly (the last step of SplitMix64).
fn mixed(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
