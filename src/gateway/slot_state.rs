use {
    super::{Gateway, REJECTIONS, SLOTS},
    crate::{
        clock::BootInstant,
        cluster::{Extension, PermitIssuer, ReleasedSlot, SlotQuery},
        names::UpstreamId,
        policy::{NamedBound, RejectionBound, SlotRelease, name_hash},
        upstreams::Upstream,
    },
    http::HeaderMap,
    std::{net::SocketAddr, sync::Arc},
};

/// A slot of an upstream, released when this is dropped.
#[derive(Debug)]
pub struct Slot {
    gateway: Arc<Gateway>,
    upstream: UpstreamId,
    /// The daemon that gave it out; `None` for this one.
    issuer: Option<(SocketAddr, u64)>,
    number: u64,
    release: SlotRelease,
}

impl Slot {
    /// Records how the request ended for which the slot is held.
    pub fn record(&mut self, release: SlotRelease) {
        if release == SlotRelease::Rejected {
            metrics::counter!(REJECTIONS).increment(1);
        }
        self.release = release;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some((address, issuer)) = self.issuer else {
            let gateway = &self.gateway;
            return gateway.take_back_slot(&self.upstream, self.number, self.release);
        };
        let released = ReleasedSlot {
            issuer,
            upstream: self.upstream.to_string(),
            slot: self.number,
            outcome: ReleasedSlot::outcome_of(self.release),
        };
        self.gateway.released_slots.lock().push((address, released));
        self.gateway.slot_released.notify_one();
    }
}

/// Upstreams that crash if they have to reject too many requests within a second.
impl Gateway {
    /// Records the bound on rejections that a response head names, or that it names none. `sent_ms` is
    /// the time when its request was sent.
    pub(super) fn record_named_bound(
        &self,
        upstream: &Upstream,
        headers: &HeaderMap,
        sent_ms: u64,
    ) {
        let values = headers.get_all(&self.names.max_rejections);
        let named = NamedBound::read(values.iter().map(|value| value.as_bytes()));
        let now_ms = self.steady_ms();
        let mut bounds = self.bounds.lock();
        let is_change =
            bounds.record_answer(&upstream.id, &upstream.service, named, sent_ms, now_ms);
        drop(bounds);
        match named {
            NamedBound::Unreadable => log::warn!(
                target: "limit",
                "upstream names an unreadable bound on rejections. upstream={}",
                upstream.id
            ),
            NamedBound::Bound(bound) if is_change => log::info!(
                target: "limit",
                "upstream bears few rejections. upstream={} per_s={bound}",
                upstream.id
            ),
            NamedBound::Absent if is_change => log::info!(
                target: "limit",
                "upstream bears any number of rejections again. upstream={}",
                upstream.id
            ),
            _ => {}
        }
    }

    /// Takes a slot of an upstream for a request that ends by `deadline`. Returns `None` if the upstream
    /// names no bound on rejections, so that no slot is needed.
    ///
    /// # Errors
    ///
    /// Returns [`NoSlot`] if no slot is free, or the daemon that gives them out does not answer.
    pub(super) async fn take_slot(
        self: &Arc<Self>,
        upstream: &Upstream,
        deadline: BootInstant,
    ) -> Result<Option<Slot>, NoSlot> {
        let now_ms = self.steady_ms();
        let bound = self
            .bounds
            .lock()
            .of(&upstream.id, &upstream.service, now_ms);
        let Some(bound) = bound else {
            return Ok(None);
        };
        let max_ms = deadline.left().as_millis() as u64;
        let taken = match self.slot_issuer(upstream) {
            PermitIssuer::Other(issuer) => self.query_slot(upstream, issuer, bound, max_ms).await,
            // Where no daemon gives out slots, each one does for itself.
            PermitIssuer::Own | PermitIssuer::Nobody => {
                let granted = self.grant_slot(&upstream.id, bound, max_ms);
                granted.ok().map(|number| (None, number))
            }
        };
        let label = if taken.is_some() { "granted" } else { "denied" };
        metrics::counter!(SLOTS, "outcome" => label).increment(1);
        let (issuer, number) = taken.ok_or(NoSlot)?;
        Ok(Some(Slot {
            gateway: self.clone(),
            upstream: upstream.id.clone(),
            issuer,
            number,
            release: SlotRelease::Unknown,
        }))
    }

    async fn query_slot(
        &self,
        upstream: &Upstream,
        issuer: SocketAddr,
        bound: RejectionBound,
        max_ms: u64,
    ) -> Option<(Option<(SocketAddr, u64)>, u64)> {
        let make_query = |id| {
            Extension::SlotQuery(SlotQuery {
                incarnation: self.incarnation,
                id,
                upstream: upstream.id.to_string(),
                bound: bound.per_s(),
                max_ms: u32::try_from(max_ms).unwrap_or(u32::MAX),
            })
        };
        let answer = self.slot_client.query(self, issuer, make_query).await?;
        Some((Some((issuer, answer.issuer)), answer.slot?))
    }

    fn slot_issuer(&self, upstream: &Upstream) -> PermitIssuer {
        let own_issues = self.is_hub() && !self.is_stopping();
        let hash = name_hash(upstream.id.as_str());
        let peers = self.peers.lock();
        peers.slot_issuer(hash, upstream.domain.as_str(), own_issues)
    }

    /// Gives out a slot of an upstream.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again, in milliseconds, if no slot is free.
    pub fn grant_slot(
        &self,
        id: &UpstreamId,
        bound: RejectionBound,
        max_ms: u64,
    ) -> Result<u64, u64> {
        let slots = self.slots_of(id);
        let now_ms = self.steady_ms();
        self.slots.lock().grant(id, slots, bound, max_ms, now_ms)
    }

    /// Takes back a slot that this daemon gave out.
    pub fn take_back_slot(&self, id: &UpstreamId, number: u64, release: SlotRelease) {
        let slots = self.slots_of(id);
        let now_ms = self.steady_ms();
        self.slots
            .lock()
            .release(id, number, release, slots, now_ms);
    }

    /// Returns the number of requests that an upstream runs at once.
    fn slots_of(&self, id: &UpstreamId) -> u32 {
        let directory = self.directory.read();
        directory.get(id).map_or(1, |upstream| upstream.slots)
    }

    /// Returns the slots of other daemons that are to be released, with the daemons' addresses.
    pub fn take_released_slots(&self) -> Vec<(SocketAddr, ReleasedSlot)> {
        std::mem::take(&mut self.released_slots.lock())
    }
}

/// An upstream that bears few rejections has no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NoSlot;
