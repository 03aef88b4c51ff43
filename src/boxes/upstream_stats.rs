use {
    crate::{engine::EngineLoad, names::*, policy::*},
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of own dispatches that are remembered for each upstream until a load report
/// includes them.
const MAX_DISPATCHES: usize = 1_024;
/// Initial value of the adaptive concurrency limit.
const INITIAL_LIMIT: u32 = 64;

/// This daemon's measurements of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamStats {
    /// The upstream's newest load report.
    pub load: Option<EngineLoad>,
    /// Number of this daemon's requests in flight.
    pub in_flight: u32,
    /// The adaptive limit on `in_flight`.
    pub limit: ConcurrencyLimit,
    /// End of the time without requests after a refused connection, in Unix milliseconds.
    pub avoid_until_ms: u64,
    /// Times of this daemon's dispatches that no load report can include yet, in Unix
    /// milliseconds.
    dispatched: VecDeque<u64>,
    /// The sequence number from which to read the next cache events.
    pub next_cache_event: u64,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        Self {
            load: None,
            in_flight: 0,
            limit: ConcurrencyLimit::new(INITIAL_LIMIT),
            avoid_until_ms: 0,
            dispatched: VecDeque::new(),
            next_cache_event: 0,
        }
    }
}

impl UpstreamStats {
    /// Records the dispatch of a request.
    pub fn start(&mut self, now_ms: u64) {
        self.in_flight += 1;
        if self.dispatched.len() == MAX_DISPATCHES {
            self.dispatched.pop_front();
        }
        self.dispatched.push_back(now_ms);
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Stores a load report unless it is older than the last one. Removes the dispatches up to the
    /// time of the report, which it can include.
    pub fn report(&mut self, load: EngineLoad) {
        let newer = self
            .load
            .as_ref()
            .is_none_or(|l| l.as_of_ms <= load.as_of_ms);
        if !newer {
            return;
        }
        self.limit.learn_slots(load.slots);
        self.dispatched.retain(|at| *at > load.as_of_ms);
        self.load = Some(load);
    }

    /// Returns the number of this daemon's dispatches that no load report can include yet.
    pub fn unreported(&self) -> u32 {
        self.dispatched.len() as u32
    }
}

/// This daemon's measurements of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct StatsTable {
    stats: BTreeMap<BoxId, UpstreamStats>,
}

impl StatsTable {
    /// Returns the measurements of an upstream; creates them at the first use.
    pub fn of(&mut self, id: &BoxId) -> &mut UpstreamStats {
        self.stats.entry(id.clone()).or_default()
    }

    /// Returns the measurements of an upstream, if there are any.
    pub fn get(&self, id: &BoxId) -> Option<&UpstreamStats> {
        self.stats.get(id)
    }

    /// Removes the upstreams that `keep` rejects and that have no requests in flight.
    pub fn retain(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.stats.retain(|id, s| keep(id) || s.in_flight > 0);
    }
}
