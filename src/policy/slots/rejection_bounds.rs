use {
    super::{NamedBound, RejectionBound},
    crate::names::{ServiceName, UpstreamId},
    std::collections::HashMap,
};

/// For how long a bound counts for the other upstreams of the service after it was last named, in
/// milliseconds.
const SERVICE_RETENTION_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Known {
    bound: RejectionBound,
    /// When the upstream last named the bound.
    named_ms: u64,
}

/// The bounds that upstreams name, from answers to this daemon. The upstreams of a service are fragile
/// together: one that this daemon has no answer of yet has the bound of the others. Times are
/// milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct RejectionBounds {
    upstreams: HashMap<UpstreamId, Known>,
    /// The bound that any upstream of a service named last.
    services: HashMap<ServiceName, Known>,
}

impl RejectionBounds {
    /// Returns the bound of an upstream; `None` if it has none.
    pub fn of(
        &self,
        id: &UpstreamId,
        service: &ServiceName,
        now_ms: u64,
    ) -> Option<RejectionBound> {
        // The usual case, without looking anything up.
        if self.services.is_empty() {
            return None;
        }
        if let Some(known) = self.upstreams.get(id) {
            return Some(known.bound);
        }
        let of_service = self.services.get(service);
        let fresh = of_service.filter(|known| now_ms < known.named_ms + SERVICE_RETENTION_MS);
        fresh.map(|known| known.bound)
    }

    /// Applies what an answer says, whose request was sent at `sent_ms`. Returns true if this changes
    /// the bound of the upstream.
    pub fn record_answer(
        &mut self,
        id: &UpstreamId,
        service: &ServiceName,
        named: NamedBound,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        match named {
            NamedBound::Unreadable => false,
            NamedBound::Bound(bound) => {
                let named_ms = now_ms;
                self.services
                    .insert(service.clone(), Known { bound, named_ms });
                let before = self.upstreams.insert(id.clone(), Known { bound, named_ms });
                before.is_none_or(|known| known.bound != bound)
            }
            // An answer that began before the bound was named may arrive late.
            NamedBound::Absent => self.lift(id, service, sent_ms),
        }
    }

    fn lift(&mut self, id: &UpstreamId, service: &ServiceName, sent_ms: u64) -> bool {
        let is_older = |known: &Known| known.named_ms <= sent_ms;
        if self.services.get(service).is_some_and(is_older) {
            self.services.remove(service);
        }
        let is_lifted = self.upstreams.get(id).is_some_and(is_older);
        if is_lifted {
            self.upstreams.remove(id);
        }
        is_lifted
    }

    /// Returns the number of upstreams that name a bound.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns true if no upstream names a bound.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_known(id));
    }
}
