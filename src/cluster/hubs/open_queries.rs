use std::collections::BTreeSet;

/// The open admission queries of a daemon. From them, its loads state up to which query they include
/// the placed requests.
///
/// A hub reserves load for a placement until the daemon's loads include it. A query that a hub holds
/// has no placement yet. If it counted as open, the hub would keep the reservations of all later
/// queries, although the loads include them too.
#[derive(Debug, Default)]
pub struct OpenQueries {
    last_id: u64,
    /// Queries whose requests are neither counted in this daemon's loads, nor held, nor over.
    open: BTreeSet<u64>,
}

impl OpenQueries {
    /// Opens a query and returns its id.
    pub fn open(&mut self) -> u64 {
        self.last_id += 1;
        self.open.insert(self.last_id);
        self.last_id
    }

    /// Records that a hub holds a query's request.
    pub fn hold(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Counts a query as open again: it is sent to another hub, or its request is decided.
    pub fn resume(&mut self, id: u64) {
        self.open.insert(id);
    }

    /// Closes a query whose request is counted in this daemon's loads, or over.
    pub fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Returns the id up to which no request is placed without being counted in the loads.
    pub fn counted_up_to(&self) -> u64 {
        let first_open = self.open.first().copied();
        first_open.map_or(self.last_id, |id| id - 1)
    }
}
