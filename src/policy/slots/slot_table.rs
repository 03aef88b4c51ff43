use {
    super::{RejectionBound, SlotLimiter, SlotRelease},
    crate::names::UpstreamId,
    std::collections::HashMap,
};

/// The slots of the upstreams for which this daemon gives them out.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    limiters: HashMap<UpstreamId, SlotLimiter>,
}

impl SlotTable {
    /// Gives out a slot of an upstream that runs `slots` requests at once, for at most `max_ms`.
    /// Returns its number.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again, in milliseconds, if no slot is free.
    pub fn grant(
        &mut self,
        id: &UpstreamId,
        slots: u32,
        bound: RejectionBound,
        max_ms: u64,
        now_ms: u64,
    ) -> Result<u64, u64> {
        let limiters = self.limiters.entry(id.clone());
        let limiter = limiters.or_insert_with(|| SlotLimiter::new(slots));
        limiter.grant(bound, max_ms, now_ms)
    }

    /// Takes a slot back. A slot that is unknown, or was taken back before, changes nothing.
    pub fn release(
        &mut self,
        id: &UpstreamId,
        number: u64,
        release: SlotRelease,
        slots: u32,
        now_ms: u64,
    ) {
        if let Some(limiter) = self.limiters.get_mut(id) {
            limiter.release(number, release, slots, now_ms);
        }
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.limiters.retain(|id, _| is_known(id));
    }
}
