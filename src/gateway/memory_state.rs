//! The tokens that running requests hold in the memory of upstreams.

use {
    super::{Gateway, PlacementRequest},
    crate::{cluster::HeldSums, names::ServiceName, policy::*, upstreams::ReadyUpstreams},
};

impl Gateway {
    /// Returns how many tokens fit into the memory of each upstream of a service; none if that is
    /// unknown or memory is not to be counted.
    fn memory_capacity_of(&self, service: &ServiceName) -> Option<u64> {
        if !self.settings.mechanisms.upstream_memory {
            return None;
        }
        let table = self.table()?;
        let engine = table.find_service(service)?.engine.as_ref()?;
        Some(engine.memory_tokens).filter(|tokens| *tokens > 0)
    }

    /// Returns whether the memory of any upstream is counted.
    fn counts_memory(&self) -> bool {
        let table = self.table();
        let services = table.iter().flat_map(|t| &t.config().services);
        let mut services = services.map(|s| &s.name);
        services.any(|name| self.memory_capacity_of(name).is_some())
    }

    /// Returns the tokens that requests of this daemon hold at upstreams; empty if no memory is
    /// counted.
    pub fn own_held_tokens(&self) -> HeldSums {
        let mut sums = HeldSums::default();
        if !self.counts_memory() {
            return sums;
        }
        let loads = self.loads.lock();
        for (id, load) in loads.iter().filter(|(_, load)| load.active > 0) {
            let held = sums.entry(id.clone()).or_default();
            held.add(load.active, Some(load.held_tokens));
        }
        sums
    }

    /// Returns the tokens that requests of this daemon and its dependents hold at upstreams; empty
    /// if no memory is counted.
    pub fn held_tokens_with_dependents(&self) -> HeldSums {
        let mut sums = self.own_held_tokens();
        if self.counts_memory() {
            self.members.lock().each_held(|id, requests, tokens| {
                sums.entry(id.clone()).or_default().add(requests, tokens);
            });
        }
        sums
    }

    /// Sets the memory use that candidates would have with a new request. Requests whose tokens are
    /// unknown count as the average of the others, or as the new one if all are unknown.
    pub(super) fn fill_in_memory(
        &self,
        candidates: &mut [Candidate],
        ready: &ReadyUpstreams,
        request: &PlacementRequest,
    ) {
        let Some(capacity) = self.memory_capacity_of(&request.service) else {
            return;
        };
        let mut held = vec![HeldTokens::default(); candidates.len()];
        let mut add = |id: &_, more| {
            if let Some(index) = ready.index_of(id) {
                held[index].merge(more);
            }
        };
        for (id, own) in &self.held_tokens_with_dependents() {
            add(id, *own);
        }
        self.peers.lock().each_held(add);
        let mut all = HeldTokens::default();
        held.iter().for_each(|held| all.merge(*held));
        let tokens_out = request.prompt.tokens_out;
        let own_tokens = request.prompt.unread_tokens(0).saturating_add(tokens_out);
        let per_request = all.per_request().unwrap_or(own_tokens as f64);
        for (candidate, held) in candidates.iter_mut().zip(&held) {
            candidate.memory = MemoryUse {
                capacity,
                held: held.tokens(per_request),
                added: candidate.unread_tokens.saturating_add(tokens_out),
            };
        }
    }
}
