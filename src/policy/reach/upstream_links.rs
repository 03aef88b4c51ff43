use {crate::names::UpstreamId, std::collections::HashMap};

/// Number of upstreams, one after the other, to which no connection can be opened, from which on a
/// daemon counts as isolated. With fewer known upstreams, all of them count.
const MIN_FAILED: usize = 8;

/// A change of whether a daemon counts as isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// No connection to any upstream can be opened now.
    Began,
    /// A connection could be opened again.
    Ended,
}

/// What a daemon's own attempts to connect show about its network paths to upstreams. Times are
/// milliseconds of the daemon's steady clock.
///
/// One upstream that can't be reached may have crashed. If none can be, it is more likely that the
/// daemon itself has lost its network.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLinks {
    /// Upstreams to which a connection could not be opened since one could be opened to any, with
    /// the time of the first failure.
    failed: HashMap<UpstreamId, u64>,
    /// When a connection to any upstream was last opened.
    opened_ms: Option<u64>,
    is_isolated: bool,
}

impl UpstreamLinks {
    /// Records that a connection to an upstream was opened.
    pub fn record_opened(&mut self, now_ms: u64) -> Option<Isolation> {
        self.opened_ms = Some(now_ms);
        self.failed.clear();
        std::mem::take(&mut self.is_isolated).then_some(Isolation::Ended)
    }

    /// Records that a connection to an upstream could not be opened. `known` is the number of
    /// upstreams that this daemon knows.
    pub fn record_failed(
        &mut self,
        id: &UpstreamId,
        known: usize,
        now_ms: u64,
    ) -> Option<Isolation> {
        self.failed.entry(id.clone()).or_insert(now_ms);
        let is_isolated = self.failed.len() >= known.clamp(1, MIN_FAILED);
        if self.is_isolated || !is_isolated {
            return None;
        }
        self.is_isolated = true;
        Some(Isolation::Began)
    }

    /// Returns whether no connection to any upstream can be opened.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Returns the number of upstreams to which a connection could not be opened since one could be
    /// opened to any.
    pub fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Returns when a connection to any upstream was last opened; `None` before the first one.
    pub fn opened_ms(&self) -> Option<u64> {
        self.opened_ms
    }
}
