use {
    super::{ConnectionCloser, SHED_ANSWERS},
    crate::policy::{Added, BufferBudget},
    parking_lot::Mutex,
    std::collections::HashMap,
};

/// The memory that this daemon uses for data that slow clients and upstreams have not read yet.
#[derive(Debug)]
pub struct Buffers {
    pub(super) state: Mutex<BufferState>,
}

#[derive(Debug)]
pub(super) struct BufferState {
    pub(super) budget: BufferBudget,
    /// The connections of the clients whose answers may be cut off, by id in the budget.
    pub(super) connections: HashMap<u64, ConnectionCloser>,
}

impl Buffers {
    /// Creates the buffers of a daemon, which may use `max_bytes` in total.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            state: Mutex::new(BufferState {
                budget: BufferBudget::new(max_bytes),
                connections: HashMap::new(),
            }),
        }
    }

    /// Returns the number of buffered bytes.
    pub fn used_bytes(&self) -> u64 {
        self.state.lock().budget.used_bytes()
    }

    /// Returns whether a request body of `bytes` can be buffered. Cuts off unread answers of other
    /// clients if their memory is needed for it.
    pub fn has_room_for(&self, bytes: u64, now_ms: u64) -> bool {
        let mut state = self.state.lock();
        let added = state.budget.make_room_for(bytes, now_ms);
        state.cut_off(&added);
        added.is_held
    }
}

impl BufferState {
    /// Closes the connections of the clients whose answers the budget gave up.
    pub(super) fn cut_off(&mut self, added: &Added) {
        if !added.shed.is_empty() {
            log::warn!(
                target: "client",
                "unread answers cut off to make room. answers={} held_bytes={} of={}",
                added.shed.len(),
                self.budget.used_bytes(),
                self.budget.max_bytes()
            );
        }
        for id in &added.shed {
            metrics::counter!(SHED_ANSWERS).increment(1);
            if let Some(connection) = self.connections.remove(id) {
                connection.request_close();
            }
        }
    }
}
