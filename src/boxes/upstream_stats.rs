use {
    crate::{engine::EngineLoad, names::*, policy::*},
    std::collections::{BTreeMap, VecDeque},
};

/// Own dispatches remembered for each upstream, until a report counts them in.
const MAX_RECENT: usize = 1_024;
/// The start of an adaptive limit.
const START_LIMIT: u32 = 64;

/// What this daemon measured of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamStats {
    /// Its last report of load.
    pub load: Option<EngineLoad>,
    /// Own requests in flight.
    pub in_flight: u32,
    /// The adaptive limit on them.
    pub limit: ConcurrencyLimit,
    /// Until when it isn't asked again after a refused connection, in Unix milliseconds.
    pub avoid_until_ms: u64,
    /// Times of own dispatches, in Unix milliseconds.
    dispatched: VecDeque<u64>,
    /// The place of the next cache event.
    pub next_cache_event: u64,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        Self {
            load: None,
            in_flight: 0,
            limit: ConcurrencyLimit::new(START_LIMIT),
            avoid_until_ms: 0,
            dispatched: VecDeque::new(),
            next_cache_event: 0,
        }
    }
}

impl UpstreamStats {
    /// Notes a dispatch.
    pub fn start(&mut self, now_ms: u64) {
        self.in_flight += 1;
        if self.dispatched.len() == MAX_RECENT {
            self.dispatched.pop_front();
        }
        self.dispatched.push_back(now_ms);
    }

    /// Notes the end of a dispatch.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a report; dispatches that it can have counted are forgotten.
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

    /// Returns how many own dispatches no report can have counted.
    pub fn unreported(&self) -> u32 {
        self.dispatched.len() as u32
    }
}

/// What this daemon measured of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct StatsTable {
    stats: BTreeMap<BoxId, UpstreamStats>,
}

impl StatsTable {
    /// Returns the record of an upstream.
    pub fn of(&mut self, id: &BoxId) -> &mut UpstreamStats {
        self.stats.entry(id.clone()).or_default()
    }

    /// Returns the record of an upstream, if there is one.
    pub fn get(&self, id: &BoxId) -> Option<&UpstreamStats> {
        self.stats.get(id)
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.stats.retain(|id, s| keep(id) || s.in_flight > 0);
    }
}
