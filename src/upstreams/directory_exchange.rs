use {
    super::{
        DirectoryChanges, DirectoryCursor, DirectoryUpdate, PresentUpstream, Upstream,
        UpstreamDirectory,
    },
    crate::names::UpstreamId,
    std::{collections::HashSet, sync::Arc},
};

/// What daemons send each other of their directories, and how they apply it.
impl UpstreamDirectory {
    fn present(&self, upstream: &Upstream) -> PresentUpstream {
        PresentUpstream {
            upstream: upstream.clone(),
            since: self.since(&upstream.id),
        }
    }

    /// Returns the changes since a follower's cursor, or the full directory if the changes
    /// since then are not all remembered.
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
            era: self.era,
            cursor: self.cursor(),
            is_complete: self.sends_full(last),
            upstreams,
            removed_ids,
            unconfirmed_ids: self.unconfirmed_ids(),
        }
    }

    /// Returns the upstreams that are only kept in case their entries are written again.
    pub fn unconfirmed_ids(&self) -> HashSet<UpstreamId> {
        self.lapsed.ids().cloned().collect()
    }

    /// Returns true if a follower with this cursor has to be sent the full directory, as the
    /// changes since then are not all remembered.
    pub fn sends_full(&self, last: Option<DirectoryCursor>) -> bool {
        !last.is_some_and(|t| t.position > 0 && self.has_all_since(t.revision))
    }

    /// Returns the cursor of a follower that gets an update now.
    pub fn cursor(&self) -> DirectoryCursor {
        DirectoryCursor {
            revision: self.revision,
            position: self.position,
        }
    }

    /// Applies an update of the followed daemon. Upstreams that are known only from others
    /// and have an older offset than the daemon's position are removed too: it would have
    /// announced them if they were still present.
    ///
    /// Returns false if the update can't be applied, as it is of a former era of the source, or
    /// lists only changes of an era that is new here. Of a former era, it only says which
    /// upstreams leave. `lapsed_until_ms` is as for [`UpstreamDirectory::enter_era`].
    pub fn apply_update(&mut self, update: DirectoryUpdate, lapsed_until_ms: u64) -> bool {
        let begins_era = update.era.follows_restore(self.era) || self.has_uncertain_offsets;
        let lacks_upstreams = begins_era && !update.is_complete;
        if lacks_upstreams || !self.enter_era(update.era, lapsed_until_ms) {
            let upstreams = update.upstreams.iter().map(|present| &present.upstream);
            self.mark_all_leaving(upstreams);
            return false;
        }
        self.merge_update(update, lapsed_until_ms);
        true
    }

    fn mark_all_leaving<'a>(&mut self, upstreams: impl Iterator<Item = &'a Upstream>) {
        for upstream in upstreams.filter(|upstream| upstream.draining) {
            self.mark_leaving(&upstream.id);
        }
    }

    fn merge_update(&mut self, update: DirectoryUpdate, lapsed_until_ms: u64) {
        let position = update.cursor.position;
        if position == 0 {
            let announced = update.upstreams.into_iter();
            return self.apply_unshared(announced.map(|present| present.upstream).collect());
        }
        self.followed.apply(&update, &self.service_of);
        for present in update.upstreams {
            let id = present.upstream.id.clone();
            let is_unconfirmed = update.unconfirmed_ids.contains(&id);
            if is_unconfirmed && self.get(&id).is_some() {
                self.lapsed.confirm_missing(&id, position);
                continue;
            }
            self.merge(present.upstream, present.since);
            if is_unconfirmed && self.get(&id).is_some() {
                self.lapsed.record_missing(&id, position, lapsed_until_ms);
            }
        }
        let from_others = self.followed.known_from_others();
        let missing = from_others.filter(|id| self.get(id).is_some_and(|u| u.offset < position));
        for id in missing.cloned().collect::<Vec<_>>() {
            self.forget(&id);
        }
        self.position = self.position.max(position);
    }

    fn has_all_since(&self, revision: u64) -> bool {
        (self.era_revision..=self.revision).contains(&revision)
            && self.removed_ids.has_all_since(revision)
    }

    /// Returns the changes for a daemon whose build goes by offsets: it is sent each record of
    /// an upstream, and removes the upstreams that it knows and isn't sent.
    pub fn changes_since(&self, last: Option<DirectoryCursor>) -> DirectoryChanges {
        // If heartbeats were left out since then, the daemon would remove live upstreams.
        let can_list_changes =
            |t: &DirectoryCursor| self.has_all_since(t.revision) && self.exact_before >= t.position;
        let last = last.filter(can_list_changes).unwrap_or_default();
        let is_complete = last.position == 0;
        let position = match is_complete {
            true => self.position,
            false => self.exact_before,
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

    /// Returns an upstream with the latest offset at which it is known to be present.
    fn at_position(&self, upstream: &Upstream, position: u64) -> Upstream {
        let mut upstream = upstream.clone();
        if self.exact_before < position && !self.lapsed.contains(&upstream.id) {
            upstream.offset = upstream.offset.max(position.saturating_sub(1));
        }
        upstream
    }

    /// Applies the changes of a daemon whose build goes by offsets. An entry that lapsed here
    /// is removed if that daemon lacks it: only this daemon may have been cut off from the
    /// source. The changes start at what was last applied of that daemon. It can't list
    /// removals that it skipped since by reading a listing, so an upstream of that part of
    /// the source that it doesn't list is removed too.
    ///
    /// Such a build names no era. Once the source has returned from a copy, its offsets are not
    /// comparable, and only what it says of leaving upstreams is applied. Returns false then.
    pub fn apply(&mut self, changes: DirectoryChanges) -> bool {
        if self.has_been_restored() {
            self.mark_all_leaving(changes.upstreams.iter());
            return false;
        }
        self.merge_changes(changes);
        true
    }

    fn merge_changes(&mut self, changes: DirectoryChanges) {
        let position = changes.cursor.position;
        if position == 0 {
            return self.apply_unshared(changes.upstreams);
        }
        let missing = self.missing_from(&changes.upstreams).into_iter();
        let is_announced =
            |id: &UpstreamId| self.get(id).is_some_and(|u| u.offset >= changes.all_since);
        let mut removed_ids: Vec<UpstreamId> = missing.filter(is_announced).collect();
        removed_ids.extend(changes.removed_ids);
        for id in removed_ids {
            let is_older = self.get(&id).is_some_and(|known| known.offset < position);
            if is_older {
                self.forget(&id);
            }
        }
        self.merge_listing(changes.upstreams);
        self.read_to(position);
    }

    /// Applies all upstreams of a source that isn't shared, sent by the daemon that reads it.
    /// Ignored if this daemon has a source itself.
    fn apply_unshared(&mut self, listing: Vec<Upstream>) {
        if self.position > 0 || self.has_own_source {
            return;
        }
        for id in self.missing_from(&listing) {
            self.forget(&id);
        }
        self.merge_listing(listing);
    }
}
