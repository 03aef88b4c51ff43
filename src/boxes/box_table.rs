use {
    crate::{names::*, policy::*},
    std::collections::BTreeMap,
};

/// Maximum number of boxes in the table, which bounds the memory that a peer can make this
/// daemon use.
pub const MAX_BOXES: usize = 20_000;

/// All boxes that this daemon knows of.
#[derive(Clone, Debug, Default)]
pub struct BoxTable {
    boxes: BTreeMap<BoxId, BoxFact>,
}

impl BoxTable {
    /// Merges a fact into the table; returns true if that changed the table. New boxes are ignored
    /// when the table is full.
    pub fn fold(&mut self, fact: &BoxFact) -> bool {
        let is_full = self.boxes.len() >= MAX_BOXES;
        match self.boxes.get_mut(&fact.id) {
            Some(known) => known.merge(fact),
            None if is_full => false,
            None => {
                self.boxes.insert(fact.id.clone(), fact.clone());
                true
            }
        }
    }

    /// Overwrites the fact of a box, for trials without monotone states.
    pub fn put(&mut self, fact: &BoxFact) {
        self.boxes.insert(fact.id.clone(), fact.clone());
    }

    /// Advances the state of a box's incarnation; returns the fact if that changed the table, and
    /// none if the box is unknown or has another incarnation.
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

    /// Removes the boxes in the state `Gone` that `keep` rejects. A source that lags by more than
    /// the time for which the caller keeps them could bring one back.
    pub fn remove_missing(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.boxes
            .retain(|id, b| b.state != BoxState::Gone || keep(id));
    }

    /// Returns the fact of a box.
    pub fn get(&self, id: &BoxId) -> Option<&BoxFact> {
        self.boxes.get(id)
    }

    /// Returns the facts of all boxes.
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
