use {crate::names::UpstreamId, std::collections::HashMap};

/// The least share of the reported work that counts as unread. An engine may be slower than its
/// service on average, and may not have read yet what it was expected to.
const UNREAD_SHARE: f64 = 0.25;

/// Work at an upstream as it was reported last, and when all of it is expected to be read.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    reported_ms: f64,
    read_by_ms: f64,
}

/// Estimates how much of the reported work each upstream has not read yet, while all upstreams are
/// loaded.
///
/// In reports, a prompt counts in full until its answer begins. A hub that relied on them alone would
/// leave an upstream idle from the end of each prompt until the next report.
#[derive(Clone, Debug, Default)]
pub struct UpstreamBacklogs {
    upstreams: HashMap<UpstreamId, Backlog>,
}

impl UpstreamBacklogs {
    /// Records the work that is reported for an upstream, in milliseconds. Returns how much of it
    /// is likely to be unread.
    pub fn observe(&mut self, id: &UpstreamId, reported_ms: f64, now_ms: u64) -> f64 {
        if reported_ms <= 0.0 {
            self.upstreams.remove(id);
            return 0.0;
        }
        let now_ms = now_ms as f64;
        let fresh = Backlog {
            reported_ms,
            read_by_ms: now_ms + reported_ms,
        };
        let Some(backlog) = self.upstreams.get_mut(id) else {
            self.upstreams.insert(id.clone(), fresh);
            return reported_ms;
        };
        let added_ms = reported_ms - backlog.reported_ms;
        if added_ms < 0.0 {
            // An answer has begun: the upstream has just started on the rest.
            *backlog = fresh;
        } else {
            backlog.reported_ms = reported_ms;
            backlog.read_by_ms = backlog.read_by_ms.max(now_ms) + added_ms;
        }
        let unread_ms = backlog.read_by_ms - now_ms;
        unread_ms.clamp(reported_ms * UNREAD_SHARE, reported_ms)
    }

    /// Forgets all upstreams.
    pub fn clear(&mut self) {
        self.upstreams.clear();
    }

    /// Returns whether no upstream is observed.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}
