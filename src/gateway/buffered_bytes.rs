use {
    super::{Buffers, ConnectionCloser, Gateway},
    crate::policy::HeldFor,
    std::{sync::Arc, time::Duration},
};

/// Interval at which bytes that wait for free memory are tried again: short compared to the time
/// for which an upstream keeps an unread answer.
const MEMORY_POLL: Duration = Duration::from_millis(20);

/// Buffered bytes of one request or answer. They count in the budget until this value is dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    gateway: Arc<Gateway>,
    buffers: Arc<Buffers>,
    id: u64,
}

impl BufferedBytes {
    /// Creates an entry without bytes. Returns none if the gateway has no budget for buffers. The
    /// connection of `client` may be closed later to free memory, unless the bytes are those of a
    /// request.
    pub fn open(
        gateway: &Arc<Gateway>,
        held_for: HeldFor,
        client: &ConnectionCloser,
    ) -> Option<Self> {
        let buffers = gateway.buffers.clone()?;
        let mut state = buffers.state.lock();
        let id = state.budget.open(held_for, gateway.steady_ms());
        if held_for != HeldFor::Request {
            state.connections.insert(id, client.clone());
        }
        drop(state);
        Some(Self {
            gateway: gateway.clone(),
            buffers,
            id,
        })
    }

    /// Counts one more chunk. Returns false if there is no free memory for it.
    pub fn add(&self, bytes: usize) -> bool {
        let now_ms = self.gateway.steady_ms();
        let mut state = self.buffers.state.lock();
        let added = state.budget.add(self.id, bytes, now_ms);
        state.cut_off(&added);
        added.is_held
    }

    /// Waits until there is free memory for one more chunk, and counts it.
    pub async fn add_when_free(&self, bytes: usize) {
        while !self.add(bytes) {
            tokio::time::sleep(MEMORY_POLL).await;
        }
    }

    /// Records that the client took a chunk, which is no longer buffered.
    pub fn take(&self, bytes: usize) {
        let now_ms = self.gateway.steady_ms();
        self.buffers
            .state
            .lock()
            .budget
            .take(self.id, bytes, now_ms);
    }

    /// Records that the client made progress: its answer was handed to the connection, or the
    /// connection took a part of it that stays in memory.
    pub fn record_progress(&self) {
        let now_ms = self.gateway.steady_ms();
        let mut state = self.buffers.state.lock();
        state.budget.record_progress(self.id, now_ms);
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        let mut state = self.buffers.state.lock();
        state.budget.close(self.id);
        state.connections.remove(&self.id);
    }
}
