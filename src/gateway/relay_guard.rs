use {
    super::Gateway,
    std::sync::{Arc, atomic::Ordering},
};

/// Counts a request that is relayed for another daemon until it is dropped. A stopping daemon waits
/// for such requests as for those of its own clients.
#[derive(Debug)]
pub struct RelayGuard(Arc<Gateway>);

impl RelayGuard {
    /// Counts one more request, unless `max` are relayed already.
    pub fn open(gateway: &Arc<Gateway>, max: usize) -> Option<Self> {
        if gateway.relayed_requests.fetch_add(1, Ordering::Relaxed) >= max {
            gateway.relayed_requests.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        gateway.open_requests.fetch_add(1, Ordering::Relaxed);
        Some(Self(gateway.clone()))
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.0.relayed_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
