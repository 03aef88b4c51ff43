use {
    super::{
        NewestIncarnations, ReadyUpstreams, UnloggedChanges, Upstream, followed_view::FollowedView,
        lapsed_upstreams::LapsedUpstreams, removed_upstreams::RemovedUpstreams,
        revision_index::RevisionIndex,
    },
    crate::names::{ServiceName, SourceEra, UpstreamId, UpstreamVersion},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        sync::Arc,
    },
};

/// Minimum number of removed incarnations that are remembered. They are needed to send
/// removals to other daemons one by one, and to keep an incarnation that was leaving from
/// getting new requests ever again. The directory's position keeps old entries of removed
/// upstreams from coming back without them.
const MIN_REMOVED: usize = 4_096;
/// Number of removed incarnations that are remembered per known upstream, where that is
/// more: all upstreams may be replaced before a daemon that was cut off receives the first
/// change.
const REMOVED_PER_KNOWN: usize = 2;

/// The known upstreams, by service.
///
/// The records of a shared source are ordered by their offsets. The directory holds the
/// position in the source before which it has applied everything: an entry from before the
/// position that the directory lacks has been removed, no matter which daemon sends it and
/// how late, and even if this daemon never knew that upstream. If the directory only
/// remembered the removals of upstreams that it knew, a removal that arrives before its
/// entry would be undone by an older listing.
///
/// Offsets count within one era of the source. When the source returns from an older copy of
/// itself, all offsets are forgotten, and what was known of upstreams holds on until the new
/// era has confirmed or refuted it.
///
/// Draining is final for an incarnation of an upstream, and a later incarnation replaces
/// the one before.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    by_service: HashMap<ServiceName, BTreeMap<UpstreamId, Arc<Upstream>>>,
    pub(super) service_of: HashMap<UpstreamId, ServiceName>,
    incarnations: NewestIncarnations,
    /// The era of the source in which offsets and positions count.
    pub(super) era: SourceEra,
    /// The era in which the source is known to have returned from a copy at the latest. What
    /// daemons say that name no era is then not comparable.
    pub(super) restored_era: Option<SourceEra>,
    /// True if the offsets known here are of an unknown era, from before or after that return.
    pub(super) has_uncertain_offsets: bool,
    /// The revision at which the era began.
    pub(super) era_revision: u64,
    /// Offset of the source before which every record is applied.
    pub(super) position: u64,
    /// Offset before which the offset of each upstream's last record is known, including
    /// records that are mere heartbeats.
    pub(super) exact_before: u64,
    /// The offset since which each upstream is known to have been present without a break;
    /// absent for upstreams that were present when the directory was first read.
    pub(super) since: HashMap<UpstreamId, u64>,
    /// The upstreams that the followed daemon has announced.
    pub(super) followed: FollowedView,
    /// True if this daemon reads a source that no other daemon has, such as a file.
    pub(super) has_own_source: bool,
    /// The upstreams of such a source whose responses said that they leave. Only their exit
    /// shows that a later entry is another incarnation.
    leaving_until_exit: HashSet<UpstreamId>,
    pub(super) removed_ids: RemovedUpstreams,
    /// The revision that last changed each upstream.
    pub(super) changed: RevisionIndex,
    /// Upstreams whose entries went missing while their source was unavailable.
    pub(super) lapsed: LapsedUpstreams,
    pub(super) revision: u64,
    /// Changes that are not logged yet.
    unlogged: UnloggedChanges,
    /// The cached list of ready upstreams of each service, and the revision it is of.
    ready_lists: Mutex<HashMap<ServiceName, (u64, Arc<ReadyUpstreams>)>>,
}

impl UpstreamDirectory {
    /// Applies a record of an upstream, read from the source in order; returns true if it
    /// changed anything that matters for routing.
    pub fn upsert(&mut self, upstream: Upstream) -> bool {
        let since = match self.get(&upstream.id) {
            Some(_) => self.since(&upstream.id),
            None => upstream.offset,
        };
        self.merge(upstream, since)
    }

    /// Merges an upstream that is known to have been present since an offset. If that offset
    /// is later than the one known here, the upstream may have been removed and added again
    /// without this daemon's knowledge. That counts as a change, so that it is sent to
    /// followers that applied the removal.
    pub(super) fn merge(&mut self, mut upstream: Upstream, since: u64) -> bool {
        let id = upstream.id.clone();
        if self.removed_ids.had_left(&id) || self.incarnations.is_superseded(&id) {
            return false;
        }
        let known = self.get(&id).cloned();
        match &known {
            None if upstream.offset < self.position => return false,
            Some(known) if upstream.offset < known.offset && !upstream.draining => return false,
            _ => {}
        }
        if self.lapsed.is_older(&id, upstream.offset) {
            return self.merge_older_than_lapse(&upstream);
        }
        self.removed_ids.forget(&id);
        if let Some(before) = self.incarnations.record(&id) {
            self.forget(&before);
        }
        let starts_leaving =
            upstream.draining && known.as_ref().is_none_or(|known| !known.draining);
        if starts_leaving {
            self.unlogged.leaving.push((id.clone(), upstream.offset));
        }
        let had_lapsed = self.lapsed.remove(&id);
        if had_lapsed {
            self.unlogged.returned.push((id.clone(), upstream.offset));
        }
        if let Some(known) = known {
            upstream.draining |= self.leaves_permanently(&known);
            upstream.offset = upstream.offset.max(known.offset);
            let same_but_offset = Upstream {
                offset: known.offset,
                ..upstream.clone()
            } == *known;
            let may_have_been_removed = since > self.since(&id);
            if same_but_offset && !had_lapsed && !may_have_been_removed {
                self.store(upstream);
                return false;
            }
        }
        let since = since.max(self.since(&id));
        if since > 0 {
            self.since.insert(id.clone(), since);
        }
        self.store(upstream);
        self.record_change(&id);
        true
    }

    /// Merges a record that was written before the entry of its upstream was found missing. Another daemon
    /// may send it much later, so it does not show that the entry is back. An upstream whose older
    /// record says that it leaves has left.
    fn merge_older_than_lapse(&mut self, upstream: &Upstream) -> bool {
        if upstream.draining {
            self.mark_leaving(&upstream.id);
            self.forget(&upstream.id);
        }
        upstream.draining
    }

    /// Returns true if a known upstream stays marked as leaving, whatever later records of
    /// the source say.
    fn leaves_permanently(&self, known: &Upstream) -> bool {
        match self.has_own_source {
            true => self.leaving_until_exit.contains(&known.id),
            false => known.draining,
        }
    }

    /// Marks an upstream as leaving by its own announcement; returns true if that was not
    /// known. The upstream's entry may still say otherwise: the source may be unavailable,
    /// or may not have accepted the upstream's write.
    pub fn mark_leaving(&mut self, id: &UpstreamId) -> bool {
        let Some(known) = self.get(id).cloned() else {
            self.removed_ids.record_left(id);
            return false;
        };
        if self.has_own_source {
            self.leaving_until_exit.insert(id.clone());
        }
        if known.draining {
            return false;
        }
        self.unlogged.leaving.push((id.clone(), known.offset));
        self.store(Upstream {
            draining: true,
            ..(*known).clone()
        });
        self.record_change(id);
        true
    }

    /// Records the exit of an upstream that had announced that it leaves, if this daemon has
    /// a source of its own: the next process at that entry is another incarnation.
    pub fn mark_ended(&mut self, id: &UpstreamId) {
        if !self.leaving_until_exit.remove(id) {
            return;
        }
        let known = self.get(id).cloned();
        if let Some(known) = known.filter(|known| known.draining) {
            self.store(Upstream {
                draining: false,
                ..(*known).clone()
            });
            self.record_change(id);
        }
    }

    /// Returns true if an upstream has announced that it leaves and only its exit can end
    /// this state.
    pub fn is_leaving_until_exit(&self, id: &UpstreamId) -> bool {
        self.leaving_until_exit.contains(id)
    }

    fn record_change(&mut self, id: &UpstreamId) {
        self.revision += 1;
        self.changed.record(id, self.revision);
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_unlogged_changes(&mut self) -> UnloggedChanges {
        std::mem::take(&mut self.unlogged)
    }

    /// Applies a removal of an upstream's entry, at an offset of the source.
    pub fn remove(&mut self, upstream: &str, offset: u64) {
        if let Some(id) = self.known_before(upstream, offset) {
            self.forget(&id);
        }
    }

    /// Records that an entry is missing from the source at an offset. As it may only have
    /// expired while the source was unavailable, the upstream is removed only if the entry
    /// isn't back by `until_ms`. An upstream that was leaving is removed at once.
    pub fn lapse(&mut self, upstream: &str, offset: u64, until_ms: u64) {
        let Some(id) = self.known_before(upstream, offset) else {
            return;
        };
        match self.is_ready(&id) {
            true => {
                self.lapsed.record_missing(&id, offset, until_ms);
                self.unlogged.missing.push((id, offset));
            }
            false => self.forget(&id),
        }
    }

    /// Returns the known incarnation of an upstream if its entry is older than an offset.
    fn known_before(&self, upstream: &str, offset: u64) -> Option<UpstreamId> {
        let id = self.incarnations.get(upstream)?;
        let known = self.get(id)?;
        (known.offset < offset).then(|| id.clone())
    }

    pub(super) fn forget(&mut self, id: &UpstreamId) {
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        self.revision += 1;
        self.changed.forget(id);
        self.since.remove(id);
        self.lapsed.remove(id);
        self.leaving_until_exit.remove(id);
        self.followed.record_forgotten(id);
        let removed = self.by_service.get_mut(&service).and_then(|b| b.remove(id));
        let Some(upstream) = removed else {
            return;
        };
        self.unlogged
            .removed_ids
            .push((id.clone(), upstream.offset));
        // An upstream that a file lists again is present again.
        let had_left = upstream.draining && !self.has_own_source;
        self.removed_ids.record(id, had_left, self.revision);
        let max_removed = MIN_REMOVED.max(REMOVED_PER_KNOWN * self.service_of.len());
        for forgotten in self.removed_ids.forget_oldest(max_removed) {
            self.incarnations.forget(&forgotten);
        }
    }

    /// Removes the lapsed entries that did not come back in time.
    pub fn expire_lapsed(&mut self, now_ms: u64) {
        for id in self.lapsed.expired(now_ms) {
            self.forget(&id);
        }
    }

    /// Records that all records before an offset of the source are applied.
    pub fn read_to(&mut self, position: u64) {
        self.position = self.position.max(position);
        self.exact_before = self.exact_before.max(position);
    }

    /// Applies a full listing of the shared source, as of an offset. Upstreams missing from
    /// it are removed; with `lapsed_until_ms` they only lapse and may come back until then.
    pub fn replace(&mut self, listing: Vec<Upstream>, position: u64, lapsed_until_ms: Option<u64>) {
        for id in self.missing_from(&listing) {
            match lapsed_until_ms {
                Some(until_ms) => self.lapse(id.upstream(), position, until_ms),
                None => self.remove(id.upstream(), position),
            }
        }
        self.merge_listing(listing);
        self.read_to(position);
    }

    /// Applies a full listing of a source that no other daemon has. Upstreams missing from
    /// it are removed.
    pub fn replace_own(&mut self, listing: Vec<Upstream>) {
        self.has_own_source = true;
        for id in self.missing_from(&listing) {
            self.forget(&id);
        }
        self.merge_listing(listing);
    }

    pub(super) fn missing_from(&self, listing: &[Upstream]) -> Vec<UpstreamId> {
        // An older incarnation in place of a later one is an outdated record: the upstream
        // is present.
        let listed: HashSet<&str> = listing.iter().map(|u| u.id.upstream()).collect();
        let known = self.service_of.keys();
        let missing = known.filter(|id| !listed.contains(id.upstream()));
        missing.cloned().collect()
    }

    /// Merges listed upstreams, of which this daemon may have missed earlier records. An
    /// upstream with a newer record than the known one counts as present only since that.
    pub(super) fn merge_listing(&mut self, upstreams: Vec<Upstream>) {
        let is_first = self.position == 0;
        for upstream in upstreams {
            // The copy may list an upstream that was removed after it was made. The upstream's
            // next record shows if it is there.
            if self.removed_ids.is_of_former_era(&upstream.id) {
                continue;
            }
            let since = match self.get(&upstream.id) {
                Some(known) if upstream.offset <= known.offset => self.since(&upstream.id),
                _ if is_first => 0,
                _ => upstream.offset,
            };
            self.merge(upstream, since);
        }
    }

    pub(super) fn since(&self, id: &UpstreamId) -> u64 {
        self.since.get(id).copied().unwrap_or(0)
    }

    /// Returns a known upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        let service = self.service_of.get(id)?;
        self.by_service.get(service)?.get(id)
    }

    /// Returns true if an upstream may get new requests.
    pub fn is_ready(&self, id: &UpstreamId) -> bool {
        self.get(id).is_some_and(|b| !b.draining)
    }

    /// Returns the upstreams of a service that may get new requests.
    pub fn ready(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<Upstream>> {
        let all = self.by_service.get(service).into_iter();
        all.flat_map(|b| b.values()).filter(|b| !b.draining)
    }

    /// Returns the upstreams of a service that may get new requests, as a list that is
    /// shared until the directory changes.
    pub fn ready_list(&self, service: &ServiceName) -> Arc<ReadyUpstreams> {
        let mut lists = self.ready_lists.lock();
        if let Some((revision, list)) = lists.get(service)
            && *revision == self.revision
        {
            return list.clone();
        }
        let ready = self.ready(service).cloned().collect();
        let list = Arc::new(ReadyUpstreams::new(ready, self.versions(service)));
        lists.insert(service.clone(), (self.revision, list.clone()));
        list
    }

    /// Returns the services of all known upstreams.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let all = self.by_service.iter();
        let with_upstreams = all.filter(|(_, upstreams)| !upstreams.is_empty());
        with_upstreams.map(|(service, _)| service)
    }

    /// Returns the software versions of a service's known upstreams, also of those that leave.
    fn versions(&self, service: &ServiceName) -> Vec<UpstreamVersion> {
        let known = self.by_service.get(service).into_iter();
        let known = known.flat_map(|b| b.values());
        let versions: BTreeSet<&UpstreamVersion> = known.map(|u| &u.version).collect();
        versions.into_iter().cloned().collect()
    }

    /// Returns all known upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_service.values().flat_map(|b| b.values())
    }

    /// Returns the number of known upstreams.
    pub fn known(&self) -> usize {
        self.service_of.len()
    }

    /// Returns the revision of the directory, which rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the offset of the source before which every record is applied.
    pub fn position(&self) -> u64 {
        self.position
    }

    pub(super) fn store(&mut self, upstream: Upstream) {
        let moved = self.service_of.get(&upstream.id);
        if let Some(old) = moved.filter(|s| **s != upstream.service).cloned() {
            self.by_service
                .get_mut(&old)
                .map(|b| b.remove(&upstream.id));
        }
        let id = upstream.id.clone();
        let known = self.service_of.insert(id, upstream.service.clone());
        if known.is_none() {
            self.followed.record_known(&upstream.id);
        }
        self.by_service
            .entry(upstream.service.clone())
            .or_default()
            .insert(upstream.id.clone(), Arc::new(upstream));
    }
}
