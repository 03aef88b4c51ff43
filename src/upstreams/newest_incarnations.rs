use {crate::names::UpstreamId, std::collections::HashMap};

/// The newest known incarnation of each upstream, also of removed ones.
#[derive(Clone, Debug, Default)]
pub struct NewestIncarnations {
    by_upstream: HashMap<Box<str>, UpstreamId>,
}

impl NewestIncarnations {
    /// Returns an upstream's newest incarnation.
    pub fn get(&self, upstream: &str) -> Option<&UpstreamId> {
        self.by_upstream.get(upstream)
    }

    /// Returns true if a later incarnation of the same upstream is known.
    pub fn is_superseded(&self, id: &UpstreamId) -> bool {
        let newest = self.get(id.upstream());
        newest.is_some_and(|newest| newest.started_ms() > id.started_ms())
    }

    /// Records an incarnation as the newest; returns the previous one if it differs.
    pub fn record(&mut self, id: &UpstreamId) -> Option<UpstreamId> {
        let before = self.by_upstream.insert(id.upstream().into(), id.clone());
        before.filter(|before| before != id)
    }

    /// Removes an upstream if this incarnation is its newest.
    pub fn forget(&mut self, id: &UpstreamId) {
        if self.get(id.upstream()) == Some(id) {
            self.by_upstream.remove(id.upstream());
        }
    }
}
