use {
    super::{
        DirectoryChanges, DirectoryCursor, DirectoryUpdate, NewestIncarnations, PresentUpstream,
        ReadyUpstreams, UnloggedChanges, Upstream, followed_view::FollowedView,
        removed_upstreams::RemovedUpstreams, revision_index::RevisionIndex,
    },
    crate::names::{ServiceName, UpstreamId},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// How many lives of upstreams that are gone are remembered at least. Their entries don't
/// come back without this: it tells other daemons of them one by one, and keeps a life
/// that was leaving from new work for good.
const MIN_GONE: usize = 4_096;
/// How many are remembered for each upstream that is known, where that is more: a whole
/// directory may be replaced before a daemon that was cut off hears of any of it.
const GONE_PER_KNOWN: usize = 2;

/// The upstreams that are known, by service.
///
/// All that a shared source says stands in one order, that of its offsets. The directory
/// remembers up to which offset it knows everything: an entry from before that it lacks
/// is gone, whoever tells of it and however late, also if nothing was ever heard of that
/// upstream here. If only those that were known were remembered, a removal that is heard
/// before its entry would be undone by an older listing.
///
/// Beside that, draining is final for one life of an upstream, and a later life ends the
/// one before.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    by_service: HashMap<ServiceName, BTreeMap<UpstreamId, Arc<Upstream>>>,
    service_of: HashMap<UpstreamId, ServiceName>,
    lives: NewestIncarnations,
    /// Before this offset of the source everything is taken in.
    position: u64,
    /// Before this offset it is known of each upstream where its last word stands, also of
    /// those that only say that they live.
    exact_to: u64,
    /// From which offset on each is known to have been there, unless it was from the first.
    since: HashMap<UpstreamId, u64>,
    /// What the daemon that is followed has told of.
    followed: FollowedView,
    /// Whether it is fed by a source that no other daemon has.
    has_own_source: bool,
    /// Of such a source, the upstreams whose answers said that they leave: nothing else
    /// tells that one is another life.
    left: HashSet<UpstreamId>,
    removed_ids: RemovedUpstreams,
    /// With which revision each changed last.
    changed: RevisionIndex,
    /// Entries that went while their source was away, with until when they may
    /// come back, in milliseconds of the daemon's steady clock.
    lapsed: HashMap<UpstreamId, u64>,
    revision: u64,
    /// What was learned and not logged yet.
    notes: UnloggedChanges,
    /// By service, the list of ready ones and the revision that it is of.
    ready_lists: Mutex<HashMap<ServiceName, (u64, Arc<ReadyUpstreams>)>>,
}

impl UpstreamDirectory {
    /// Takes in what an upstream says, read in order; returns whether it changed anything
    /// that matters for routing.
    pub fn upsert(&mut self, upstream: Upstream) -> bool {
        let since = match self.get(&upstream.id) {
            Some(_) => self.since(&upstream.id),
            None => upstream.offset,
        };
        self.take_in_one(upstream, since)
    }

    /// Takes in an upstream that is known to have been there since an offset. If that is
    /// later than was known here, it may have gone and come back between, unheard: that is
    /// a change, which those have to be told that heard it go.
    fn take_in_one(&mut self, mut upstream: Upstream, since: u64) -> bool {
        let id = upstream.id.clone();
        if self.removed_ids.had_left(&id) || self.lives.is_over(&id) {
            return false;
        }
        let known = self.get(&id).cloned();
        match &known {
            None if upstream.offset < self.position => return false,
            Some(known) if upstream.offset < known.offset && !upstream.draining => return false,
            _ => {}
        }
        self.removed_ids.forget(&id);
        if let Some(before) = self.lives.record(&id) {
            self.forget(&before);
        }
        let leaves = upstream.draining && known.as_ref().is_none_or(|known| !known.draining);
        if leaves {
            self.notes.leaving.push((id.clone(), upstream.offset));
        }
        let had_lapsed = self.lapsed.remove(&id).is_some();
        if let Some(known) = known {
            upstream.draining |= self.leaves_for_good(&known);
            upstream.offset = upstream.offset.max(known.offset);
            let same_but_offset = Upstream {
                offset: known.offset,
                ..upstream.clone()
            } == *known;
            let may_have_gone = since > self.since(&id);
            if same_but_offset && !had_lapsed && !may_have_gone {
                self.store(upstream);
                return false;
            }
        }
        let since = since.max(self.since(&id));
        if since > 0 {
            self.since.insert(id.clone(), since);
        }
        self.store(upstream);
        self.note_changed(&id);
        true
    }

    /// Returns whether an upstream that is known leaves, whatever its source goes on to say.
    fn leaves_for_good(&self, known: &Upstream) -> bool {
        match self.has_own_source {
            true => self.left.contains(&known.id),
            false => known.draining,
        }
    }

    /// Takes in that an upstream itself says that it leaves; returns whether that was not
    /// known. Its entry may say otherwise for as long as it stands there: the source may be
    /// away, or may not have taken the word.
    pub fn mark_leaving(&mut self, id: &UpstreamId) -> bool {
        let Some(known) = self.get(id).cloned() else {
            self.removed_ids.record_left(id);
            return false;
        };
        if self.has_own_source {
            self.left.insert(id.clone());
        }
        if known.draining {
            return false;
        }
        self.notes.leaving.push((id.clone(), known.offset));
        self.store(Upstream {
            draining: true,
            ..(*known).clone()
        });
        self.note_changed(id);
        true
    }

    /// Takes in that an upstream has ended that had said that it leaves, where only the
    /// daemon's own source tells of upstreams: what is there next is another life.
    pub fn mark_ended(&mut self, id: &UpstreamId) {
        if !self.left.remove(id) {
            return;
        }
        let known = self.get(id).cloned();
        if let Some(known) = known.filter(|known| known.draining) {
            self.store(Upstream {
                draining: false,
                ..(*known).clone()
            });
            self.note_changed(id);
        }
    }

    /// Returns whether an upstream has said that it leaves and nothing but its end can tell
    /// that this is over.
    pub fn is_leaving_until_exit(&self, id: &UpstreamId) -> bool {
        self.left.contains(id)
    }

    fn note_changed(&mut self, id: &UpstreamId) {
        self.revision += 1;
        self.changed.record(id, self.revision);
    }

    /// Returns what was learned since this was last called.
    pub fn take_unlogged_changes(&mut self) -> UnloggedChanges {
        std::mem::take(&mut self.notes)
    }

    /// Takes in that the source says at an offset that an upstream's entry is gone.
    pub fn remove(&mut self, upstream: &str, offset: u64) {
        if let Some(id) = self.said_before(upstream, offset) {
            self.forget(&id);
        }
    }

    /// Takes in that an entry is missing from an offset on that may only have lapsed
    /// while its source was away: it counts as gone if it isn't back by `until_ms`. One
    /// that was leaving is gone at once.
    pub fn lapse(&mut self, upstream: &str, offset: u64, until_ms: u64) {
        let Some(id) = self.said_before(upstream, offset) else {
            return;
        };
        match self.is_ready(&id) {
            true => {
                self.lapsed.entry(id).or_insert(until_ms);
            }
            false => self.forget(&id),
        }
    }

    /// Returns the life of an upstream that is known, if its entry is older than an
    /// offset.
    fn said_before(&self, upstream: &str, offset: u64) -> Option<UpstreamId> {
        let id = self.lives.get(upstream)?;
        let known = self.get(id)?;
        (known.offset < offset).then(|| id.clone())
    }

    fn forget(&mut self, id: &UpstreamId) {
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        self.revision += 1;
        self.changed.forget(id);
        self.since.remove(id);
        self.lapsed.remove(id);
        self.left.remove(id);
        self.followed.note_forgotten(id);
        let removed = self.by_service.get_mut(&service).and_then(|b| b.remove(id));
        let Some(upstream) = removed else {
            return;
        };
        self.notes.removed_ids.push((id.clone(), upstream.offset));
        // What a file lists again is there again.
        let left_for_good = upstream.draining && !self.has_own_source;
        self.removed_ids.record(id, left_for_good, self.revision);
        let most = MIN_GONE.max(GONE_PER_KNOWN * self.service_of.len());
        for forgotten in self.removed_ids.forget_first(most) {
            self.lives.forget(&forgotten);
        }
    }

    /// Removes the entries that lapsed and did not come back in time.
    pub fn expire_lapsed(&mut self, now_ms: u64) {
        let is_over = |(_, until_ms): &(&UpstreamId, &u64)| now_ms >= **until_ms;
        let over: Vec<_> = self.lapsed.iter().filter(is_over).collect();
        let over: Vec<UpstreamId> = over.into_iter().map(|(id, _)| id.clone()).collect();
        for id in over {
            self.forget(&id);
        }
    }

    /// Notes that everything before an offset of the source is read.
    pub fn read_to(&mut self, position: u64) {
        self.position = self.position.max(position);
        self.exact_to = self.exact_to.max(position);
    }

    /// Takes in a whole listing of the shared source, as it was before an offset. What
    /// it lacks is gone, or has lapsed if that may be so until `lapsed_until_ms`.
    pub fn replace(&mut self, listing: Vec<Upstream>, position: u64, lapsed_until_ms: Option<u64>) {
        for id in self.lacked_by(&listing) {
            match lapsed_until_ms {
                Some(until_ms) => self.lapse(id.upstream(), position, until_ms),
                None => self.remove(id.upstream(), position),
            }
        }
        self.take_in(listing);
        self.read_to(position);
    }

    /// Takes in all upstreams of a source that no other daemon has: what it lacks is
    /// gone.
    pub fn replace_own(&mut self, listing: Vec<Upstream>) {
        self.has_own_source = true;
        for id in self.lacked_by(&listing) {
            self.forget(&id);
        }
        self.take_in(listing);
    }

    fn lacked_by(&self, listing: &[Upstream]) -> Vec<UpstreamId> {
        // An older life in the place of a later one is a late word of it: the upstream
        // is there.
        let listed: HashSet<&str> = listing.iter().map(|u| u.id.upstream()).collect();
        let known = self.service_of.keys();
        let lacked = known.filter(|id| !listed.contains(id.upstream()));
        lacked.cloned().collect()
    }

    /// Takes in upstreams of whose earlier words some may not have been heard.
    fn take_in(&mut self, upstreams: Vec<Upstream>) {
        let is_first = self.position == 0;
        for upstream in upstreams {
            let since = match self.get(&upstream.id) {
                Some(known) if upstream.offset <= known.offset => self.since(&upstream.id),
                _ if is_first => 0,
                _ => upstream.offset,
            };
            self.take_in_one(upstream, since);
        }
    }

    fn since(&self, id: &UpstreamId) -> u64 {
        self.since.get(id).copied().unwrap_or(0)
    }

    fn present(&self, upstream: &Upstream) -> PresentUpstream {
        PresentUpstream {
            upstream: upstream.clone(),
            since: self.since(&upstream.id),
        }
    }

    /// Returns what has changed since it was told last; everything, if that can't be
    /// told one by one.
    pub fn update_since(&self, last: Option<DirectoryCursor>) -> DirectoryUpdate {
        let (upstreams, removed_ids) = match last.filter(|_| !self.sends_full(last)) {
            None => (self.all().map(|u| self.present(u)).collect(), Vec::new()),
            Some(last) => {
                let changed = self.changed.since(last.revision);
                let changed = changed.filter_map(|id| self.get(id));
                let removed_ids = self.removed_ids.since(last.revision);
                (
                    changed.map(|u| self.present(u)).collect(),
                    removed_ids.cloned().collect(),
                )
            }
        };
        DirectoryUpdate {
            cursor: self.cursor(),
            is_complete: self.sends_full(last),
            upstreams,
            removed_ids,
        }
    }

    /// Returns whether what has changed since it was told last can't be told one by one.
    pub fn sends_full(&self, last: Option<DirectoryCursor>) -> bool {
        !last.is_some_and(|t| t.position > 0 && self.has_all_since(t.revision))
    }

    /// Returns what is told with the news of this moment.
    pub fn cursor(&self) -> DirectoryCursor {
        DirectoryCursor {
            revision: self.revision,
            position: self.position,
        }
    }

    /// Takes in news of the daemon that is followed, as of its position. What is known from
    /// elsewhere and should have been told by then is gone, too.
    pub fn apply_update(&mut self, news: DirectoryUpdate) {
        let position = news.cursor.position;
        if position == 0 {
            let told = news.upstreams.into_iter();
            return self.take_unshared(told.map(|present| present.upstream).collect());
        }
        self.followed.take_in(&news, &self.service_of);
        for present in news.upstreams {
            self.take_in_one(present.upstream, present.since);
        }
        let elsewhere = self.followed.known_from_others();
        let lacked = elsewhere.filter(|id| self.get(id).is_some_and(|u| u.offset < position));
        for id in lacked.cloned().collect::<Vec<_>>() {
            self.forget(&id);
        }
        self.position = self.position.max(position);
    }

    fn has_all_since(&self, revision: u64) -> bool {
        revision <= self.revision && self.removed_ids.has_all_since(revision)
    }

    /// Returns the same for a daemon of a build that goes by offsets: it is told of each
    /// word of an upstream, and takes those that it knows of and isn't told of for gone.
    pub fn changes_since(&self, last: Option<DirectoryCursor>) -> DirectoryChanges {
        // Where words were passed over that only said that an upstream lives, it would take
        // live ones for gone.
        let can_tell =
            |t: &DirectoryCursor| self.has_all_since(t.revision) && self.exact_to >= t.position;
        let last = last.filter(can_tell).unwrap_or_default();
        let is_complete = last.position == 0;
        let position = match is_complete {
            true => self.position,
            false => self.exact_to,
        };
        let is_change = |upstream: &&Arc<Upstream>| {
            is_complete
                || upstream.offset >= last.position
                || self.changed.is_since(&upstream.id, last.revision)
        };
        let removed_ids = (!is_complete).then(|| self.removed_ids.since(last.revision));
        DirectoryChanges {
            cursor: DirectoryCursor {
                revision: self.revision,
                position,
            },
            all_since: last.position,
            upstreams: self
                .all()
                .filter(is_change)
                .map(|u| self.at_position(u, position))
                .collect(),
            removed_ids: removed_ids.into_iter().flatten().cloned().collect(),
        }
    }

    /// Returns an upstream with the offset that it is known to live at.
    fn at_position(&self, upstream: &Upstream, position: u64) -> Upstream {
        let mut upstream = upstream.clone();
        if self.exact_to < position && !self.lapsed.contains_key(&upstream.id) {
            upstream.offset = upstream.offset.max(position.saturating_sub(1));
        }
        upstream
    }

    /// Takes in what has changed in the directory of a daemon of such a build, as of its
    /// position. What has lapsed here is gone, too, if another that heard the source all
    /// the time says so: only this daemon may have been cut off. Changes count from what was
    /// taken in of that daemon before: what it passed over since, by a listing, it can't
    /// name as gone, so what it doesn't have of that part of the source is gone, too.
    pub fn apply(&mut self, changes: DirectoryChanges) {
        let position = changes.cursor.position;
        if position == 0 {
            return self.take_unshared(changes.upstreams);
        }
        let lacked = self.lacked_by(&changes.upstreams).into_iter();
        let is_announced =
            |id: &UpstreamId| self.get(id).is_some_and(|u| u.offset >= changes.all_since);
        let mut removed_ids: Vec<UpstreamId> = lacked.filter(is_announced).collect();
        removed_ids.extend(changes.removed_ids);
        for id in removed_ids {
            let is_older = self.get(&id).is_some_and(|known| known.offset < position);
            if is_older {
                self.forget(&id);
            }
        }
        self.take_in(changes.upstreams);
        self.read_to(position);
    }

    /// Takes in all upstreams of a source that isn't shared, from a daemon that has one.
    /// One that has a source itself goes by that.
    fn take_unshared(&mut self, listing: Vec<Upstream>) {
        if self.position > 0 || self.has_own_source {
            return;
        }
        for id in self.lacked_by(&listing) {
            self.forget(&id);
        }
        self.take_in(listing);
    }

    /// Returns an upstream that is not gone.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        let service = self.service_of.get(id)?;
        self.by_service.get(service)?.get(id)
    }

    /// Returns whether an upstream may get new work.
    pub fn is_ready(&self, id: &UpstreamId) -> bool {
        self.get(id).is_some_and(|b| !b.draining)
    }

    /// Returns the upstreams of a service that may get new work.
    pub fn ready(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<Upstream>> {
        let all = self.by_service.get(service).into_iter();
        all.flat_map(|b| b.values()).filter(|b| !b.draining)
    }

    /// Returns the upstreams of a service that may get new work, as a list that is
    /// the same until the directory changes.
    pub fn ready_list(&self, service: &ServiceName) -> Arc<ReadyUpstreams> {
        let mut lists = self.ready_lists.lock();
        if let Some((revision, list)) = lists.get(service)
            && *revision == self.revision
        {
            return list.clone();
        }
        let list = Arc::new(ReadyUpstreams::new(self.ready(service).cloned().collect()));
        lists.insert(service.clone(), (self.revision, list.clone()));
        list
    }

    /// Returns all upstreams that are not gone.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_service.values().flat_map(|b| b.values())
    }

    /// Returns how many upstreams are known.
    pub fn known(&self) -> usize {
        self.service_of.len()
    }

    /// Returns a number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the offset of the source before which everything is taken in.
    pub fn position(&self) -> u64 {
        self.position
    }

    fn store(&mut self, upstream: Upstream) {
        let moved = self.service_of.get(&upstream.id);
        if let Some(old) = moved.filter(|s| **s != upstream.service).cloned() {
            self.by_service
                .get_mut(&old)
                .map(|b| b.remove(&upstream.id));
        }
        let id = upstream.id.clone();
        let known = self.service_of.insert(id, upstream.service.clone());
        if known.is_none() {
            self.followed.note_known(&upstream.id);
        }
        self.by_service
            .entry(upstream.service.clone())
            .or_default()
            .insert(upstream.id.clone(), Arc::new(upstream));
    }
}
