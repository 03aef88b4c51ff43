use {
    crate::policy::{EngineTimes, MemoryUse},
    rand::Rng,
};

/// By how much each request that runs at an upstream delays the first event of a new
/// request, as a share of the first-event time of the idle upstream. Small, so that it
/// only decides between upstreams with the same number of tokens to read.
const ACTIVE_SLOWDOWN: f64 = 0.03;
/// Cost of an upstream that fails every request, as a multiple of the route's target
/// latency: a failed request has to be retried or is lost.
const FAILURE_PENALTY: f64 = 6.0;
/// Cost of sending a request to another failure domain, in milliseconds: several round
/// trips within a region, and the price of the traffic.
const OTHER_DOMAIN_MS: f64 = 4.0;
/// Upper bound of the random cost added to each candidate, in milliseconds. It keeps
/// daemons that see the same loads from all choosing the same upstream.
const JITTER_MS: f64 = 4.0;

/// An upstream that a request may be sent to, with the loads that decide the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The request was already sent to this upstream; it is not chosen again.
    pub tried: bool,
    /// The upstream is chosen only if all untried candidates are to be avoided.
    pub avoided: bool,
    /// Prompt tokens of other requests that wait at the upstream.
    pub waiting_tokens: u64,
    /// Prompt tokens of this request that the upstream has to read, since they are not cached.
    pub unread_tokens: u64,
    /// Requests that run at the upstream.
    pub active: u32,
    /// Requests that the upstream runs concurrently at most.
    pub slots: u32,
    /// Share of the recent requests that failed at the upstream, from 0 to 1.
    pub failure_rate: f64,
    /// The upstream is in the daemon's own failure domain.
    pub same_domain: bool,
    /// How long the upstream takes for a token, as a multiple of its service's usual time.
    pub time_factor: f64,
    /// The use of the upstream's memory with this request.
    pub memory: MemoryUse,
}

impl Candidate {
    /// Estimates the time to the first event in milliseconds, without penalties and without the fixed
    /// time that all upstreams of the service have in common.
    pub fn first_event_ms(&self, times: &EngineTimes) -> f64 {
        self.reading_ms(times) + self.slot_wait_ms(times) + self.memory_wait_ms(times)
    }

    /// Estimates how long the upstream takes to read the prompts of other requests that wait there, in
    /// milliseconds.
    pub fn waiting_ms(&self, times: &EngineTimes) -> f64 {
        self.waiting_tokens as f64 * times.ms_per_token * self.time_factor
    }

    /// Estimates the time to the first event, penalties included, in milliseconds.
    pub(super) fn cost_ms(&self, times: &EngineTimes, target_ms: f64) -> f64 {
        let mut cost = self.reading_ms(times);
        cost += self.failure_rate * target_ms * FAILURE_PENALTY;
        if !self.same_domain {
            cost += OTHER_DOMAIN_MS;
        }
        cost + self.slot_wait_ms(times) + self.memory_wait_ms(times)
    }

    /// Estimates how long the upstream takes to read the waiting prompts and this request's, slowed down
    /// by the requests that run there, in milliseconds.
    fn reading_ms(&self, times: &EngineTimes) -> f64 {
        let tokens = (self.waiting_tokens + self.unread_tokens) as f64;
        let reading = tokens * times.ms_per_token * self.time_factor;
        let slowdown = f64::from(self.active) * times.first_event_ms * ACTIVE_SLOWDOWN;
        reading + slowdown * self.time_factor
    }

    /// Estimates how long a request waits for a slot. A full upstream frees `slots` slots
    /// in the time that one request runs.
    pub fn slot_wait_ms(&self, times: &EngineTimes) -> f64 {
        let slots = self.slots.max(1);
        let ahead = (self.active + 1).saturating_sub(slots);
        f64::from(ahead) * times.stay_ms / f64::from(slots)
    }

    /// Estimates the cost of exceeding the upstream's memory, in milliseconds: the wait until running
    /// requests have freed enough, and the time to read the prompts of preempted requests again. Only
    /// whole requests are preempted. A full upstream is assumed to free all its memory in the time that
    /// one request runs.
    pub fn memory_wait_ms(&self, times: &EngineTimes) -> f64 {
        let excess = self.memory.excess() as f64;
        if excess == 0.0 {
            return 0.0;
        }
        let wait = excess / self.memory.capacity as f64 * times.stay_ms;
        let smallest = self.memory.held as f64 / f64::from(self.active.max(1));
        wait + excess.max(smallest) * times.ms_per_token * self.time_factor
    }
}

/// Returns the index of the candidate with the lowest cost for a request whose first event
/// is due within `target_ms`, or `None` if all candidates were tried.
pub fn choose_upstream(
    candidates: &[Candidate],
    times: &EngineTimes,
    target_ms: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let any_preferred = candidates.iter().any(|c| !c.tried && !c.avoided);
    let usable = candidates.iter().enumerate();
    let usable = usable.filter(|(_, c)| !c.tried && (!c.avoided || !any_preferred));
    // One random number serves all candidates: drawing one for each takes as long as the
    // rest of the choice.
    let random_bits: u64 = rng.random();
    let costs = usable.map(|(index, c)| {
        let fraction = mix_bits(random_bits ^ index as u64) as f64 / u64::MAX as f64;
        (index, c.cost_ms(times, target_ms) + fraction * JITTER_MS)
    });
    let cheapest = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
    cheapest.map(|(index, _)| index)
}

/// Returns the hash of a name. The hash is the same on every daemon.
pub fn name_hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

/// Returns the rendezvous-hashing rank of an upstream for a chain of prompt parts.
/// `chain` is the hash of the chain and `upstream` the hash of the upstream's name. The
/// upstream with the highest rank is the home of the chain; daemons that know the same
/// upstreams agree on it.
pub fn home_rank(chain: u64, upstream: u64) -> u64 {
    mix_bits(mix_bits(chain) ^ upstream)
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix_bits(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
