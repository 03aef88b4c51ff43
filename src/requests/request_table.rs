use {
    super::*,
    crate::names::*,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
};

/// Parts of the table, each with its own lock.
const SHARDS: usize = 16;

/// All requests that this box owns, holds a copy of, or sent on.
///
/// Lock order: a shard before a record, never two shards.
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
    /// Returns a request.
    pub fn get(&self, id: RequestId) -> Option<Arc<RequestCell>> {
        self.shard(id).lock().get(&id).cloned()
    }

    /// Puts a request in, unless it is there already; returns the one that is
    /// there now, and whether it was put in.
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

    /// Takes a request out.
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

    /// Returns how many requests are in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, id: RequestId) -> &Mutex<HashMap<RequestId, Arc<RequestCell>>> {
        // The low bits of a UUIDv7 are random.
        let n = (id.uuid().as_u128() as usize) % SHARDS;
        &self.shards[n]
    }
}
