use {
    super::*,
    crate::names::*,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
};

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 16;

/// All requests that this box owns, holds a copy of, or moved to another box.
///
/// Lock order: a shard is locked before a record, and never two shards at once.
#[derive(Debug)]
pub struct RequestTable {
    shards: Vec<Mutex<HashMap<RequestId, Arc<RequestCell>>>>,
}

impl Default for RequestTable {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl RequestTable {
    /// Returns the request with an identifier, if the table has it.
    pub fn get(&self, id: RequestId) -> Option<Arc<RequestCell>> {
        self.shard(id).lock().get(&id).cloned()
    }

    /// Inserts a request, unless the table already has one with its identifier. Returns the
    /// request now in the table, and true if it was inserted.
    pub fn insert(&self, record: Record) -> (Arc<RequestCell>, bool) {
        let id = record.spec.id;
        let mut shard = self.shard(id).lock();
        if let Some(cell) = shard.get(&id) {
            return (cell.clone(), false);
        }
        let cell = RequestCell::new(record);
        shard.insert(id, cell.clone());
        (cell, true)
    }

    /// Removes a request.
    pub fn remove(&self, id: RequestId) {
        self.shard(id).lock().remove(&id);
    }

    /// Returns all requests.
    pub fn all(&self) -> Vec<Arc<RequestCell>> {
        self.shards
            .iter()
            .flat_map(|s| s.lock().values().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, id: RequestId) -> &Mutex<HashMap<RequestId, Arc<RequestCell>>> {
        // The low bits of a UUIDv7 are random, so they spread the requests evenly.
        let n = (id.uuid().as_u128() as usize) % SHARDS;
        &self.shards[n]
    }
}
