use {
    crate::{names::*, policy::*},
    std::collections::BTreeMap,
};

/// The most boxes that the table takes: a bound on what a peer can make us hold.
pub const MAX_BOXES: usize = 20_000;

/// All boxes that this daemon knows of.
#[derive(Clone, Debug, Default)]
pub struct BoxTable {
    boxes: BTreeMap<BoxId, BoxFact>,
}

impl BoxTable {
    /// Folds a fact; returns whether it told anything new.
    pub fn fold(&mut self, fact: &BoxFact) -> bool {
        let full = self.boxes.len() >= MAX_BOXES;
        match self.boxes.get_mut(&fact.id) {
            Some(known) => known.merge(fact),
            None if full => false,
            None => {
                self.boxes.insert(fact.id.clone(), fact.clone());
                true
            }
        }
    }

    /// Takes a fact as the newest truth, for trials without monotone states.
    pub fn put(&mut self, fact: &BoxFact) {
        self.boxes.insert(fact.id.clone(), fact.clone());
    }

    /// Moves a box's state forward; returns the fact if that told anything new.
    pub fn advance(
        &mut self,
        id: &BoxId,
        incarnation: u64,
        state: BoxState,
        leaves_at_ms: u64,
    ) -> Option<BoxFact> {
        let mut fact = self.boxes.get(id)?.clone();
        if fact.incarnation != incarnation {
            return None;
        }
        fact.state = state;
        fact.leaves_at_ms = leaves_at_ms;
        self.fold(&fact).then_some(fact)
    }

    /// Forgets boxes that are gone, save those to keep. A source that lags by
    /// more than the caller waits could bring one back.
    pub fn remove_missing(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.boxes
            .retain(|id, b| b.state != BoxState::Gone || keep(id));
    }

    /// Returns what is known of a box.
    pub fn get(&self, id: &BoxId) -> Option<&BoxFact> {
        self.boxes.get(id)
    }

    /// Returns all boxes.
    pub fn iter(&self) -> impl Iterator<Item = &BoxFact> {
        self.boxes.values()
    }

    /// Returns the live entry boxes.
    pub fn live_entries(&self) -> impl Iterator<Item = &BoxFact> {
        self.iter()
            .filter(|b| b.kind == BoxKind::Entry && b.state == BoxState::Live)
    }

    /// Returns the live upstreams of a service in a failure domain.
    pub fn upstreams<'a>(
        &'a self,
        service: &'a ServiceName,
        failure_domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a BoxFact> {
        self.iter().filter(move |b| {
            b.kind != BoxKind::Entry
                && b.state == BoxState::Live
                && b.service == *service
                && b.failure_domain == *failure_domain
        })
    }

    /// Returns the failure domains in which a service has live upstreams.
    pub fn domains_with(&self, service: &ServiceName) -> Vec<FailureDomain> {
        let mut domains: Vec<FailureDomain> = self
            .iter()
            .filter(|b| b.state == BoxState::Live && b.service == *service)
            .filter(|b| b.kind != BoxKind::Entry)
            .map(|b| b.failure_domain.clone())
            .collect();
        domains.sort();
        domains.dedup();
        domains
    }
}
