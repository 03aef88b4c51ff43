use {
    super::{DirectoryNotes, ReadyUpstreams, Upstream},
    crate::names::{ServiceName, UpstreamId},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// How many upstreams that are gone are remembered.
const MAX_GONE: usize = 4_096;

/// The upstreams that are known, by service.
///
/// Facts about one life of an upstream only move forward: draining is final,
/// and one that is gone comes back only with a later heartbeat.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    by_service: HashMap<ServiceName, BTreeMap<UpstreamId, Arc<Upstream>>>,
    service_of: HashMap<UpstreamId, ServiceName>,
    gone: HashMap<UpstreamId, Gone>,
    /// With which revision each changed last.
    changed: HashMap<UpstreamId, u64>,
    /// Entries that went while their source was away, with until when they may
    /// come back, in milliseconds of the daemon's steady clock.
    lapsed: HashMap<UpstreamId, u64>,
    revision: u64,
    /// Before this revision, changes can't be told one by one.
    told_from: u64,
    /// What was learned and not logged yet.
    notes: DirectoryNotes,
    /// By service, the list of ready ones and the revision that it is of.
    ready_lists: Mutex<HashMap<ServiceName, (u64, Arc<ReadyUpstreams>)>>,
}

/// What is remembered of an upstream that is gone.
#[derive(Clone, Copy, Debug)]
struct Gone {
    /// Its last heartbeat.
    heartbeat: u64,
    /// Whether it had said that it leaves: this life of it never comes back.
    was_leaving: bool,
    revision: u64,
}

/// What it means that a whole listing of another daemon lacks an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// It is gone.
    Gone,
    /// It is gone, unless a change tells of it until a time, in milliseconds of
    /// the daemon's steady clock: the listing may be older than what is known.
    GoneAt(u64),
    /// Nothing: this daemon hears of it from the source itself.
    NotYetKnown,
}

/// What has changed in a directory since a revision of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryChanges {
    /// The revision that the changes lead to.
    pub revision: u64,
    /// Whether the upstreams are all there are.
    pub is_whole: bool,
    /// Upstreams as they are now.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that are gone, with their last heartbeats.
    pub gone: Vec<(UpstreamId, u64)>,
}

impl UpstreamDirectory {
    /// Takes in what an upstream says; returns whether it changed anything that
    /// matters for routing.
    pub fn upsert(&mut self, mut upstream: Upstream) -> bool {
        if let Some(gone) = self.gone.get(&upstream.id) {
            if gone.was_leaving || upstream.heartbeat <= gone.heartbeat {
                return false;
            }
            self.gone.remove(&upstream.id);
        }
        let id = upstream.id.clone();
        if upstream.draining && self.get(&id).is_none_or(|known| !known.draining) {
            self.notes.leaving.push((id.clone(), upstream.heartbeat));
        }
        self.lapsed.remove(&id);
        if let Some(known) = self.get(&id) {
            if upstream.heartbeat < known.heartbeat && !upstream.draining {
                return false;
            }
            upstream.draining |= known.draining;
            upstream.heartbeat = upstream.heartbeat.max(known.heartbeat);
            let same_but_heartbeat = Upstream {
                heartbeat: known.heartbeat,
                ..upstream.clone()
            } == **known;
            if same_but_heartbeat {
                self.store(upstream);
                return false;
            }
        }
        self.store(upstream);
        self.revision += 1;
        self.changed.insert(id, self.revision);
        true
    }

    /// Returns what was learned since this was last called.
    pub fn take_notes(&mut self) -> DirectoryNotes {
        std::mem::take(&mut self.notes)
    }

    /// Takes in that an upstream's entry is gone.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        let Some(service) = self.service_of.remove(id) else {
            return false;
        };
        self.revision += 1;
        self.changed.remove(id);
        self.lapsed.remove(id);
        let removed = self.by_service.get_mut(&service).and_then(|b| b.remove(id));
        if let Some(upstream) = removed {
            self.notes.gone.push((id.clone(), upstream.heartbeat));
            if self.gone.len() >= MAX_GONE {
                self.gone.clear();
                self.told_from = self.revision;
            }
            let gone = Gone {
                heartbeat: upstream.heartbeat,
                was_leaving: upstream.draining,
                revision: self.revision,
            };
            self.gone.insert(id.clone(), gone);
        }
        true
    }

    /// Takes in that an entry is missing that may only have lapsed while its
    /// source was away: it counts as gone if it isn't back by `until_ms`. One
    /// that was leaving is gone at once.
    pub fn lapse(&mut self, id: &UpstreamId, until_ms: u64) {
        match self.is_ready(id) {
            true => {
                self.lapsed.entry(id.clone()).or_insert(until_ms);
            }
            false => {
                self.remove(id);
            }
        }
    }

    /// Removes the entries that lapsed and did not come back in time.
    pub fn expire_lapsed(&mut self, now_ms: u64) {
        let is_over = |(_, until_ms): &(&UpstreamId, &u64)| now_ms >= **until_ms;
        let over: Vec<_> = self.lapsed.iter().filter(is_over).collect();
        let over: Vec<UpstreamId> = over.into_iter().map(|(id, _)| id.clone()).collect();
        for id in over {
            self.remove(&id);
        }
    }

    /// Replaces all that is known by a whole listing. What it lacks is gone,
    /// or has lapsed if that may be so until `lapsed_until_ms`.
    pub fn replace(&mut self, listing: Vec<Upstream>, lapsed_until_ms: Option<u64>) {
        let listed: HashSet<_> = listing.iter().map(|b| b.id.clone()).collect();
        let known: Vec<_> = self.service_of.keys().cloned().collect();
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            match lapsed_until_ms {
                Some(until_ms) => self.lapse(&id, until_ms),
                None => {
                    self.remove(&id);
                }
            }
        }
        for upstream in listing {
            self.upsert(upstream);
        }
    }

    /// Returns what has changed since a revision; everything, if that can't be
    /// told or no revision is given.
    pub fn changes_since(&self, revision: Option<u64>) -> DirectoryChanges {
        let known = revision.filter(|r| *r >= self.told_from && *r <= self.revision);
        let Some(since) = known else {
            return DirectoryChanges {
                revision: self.revision,
                is_whole: true,
                upstreams: self.all().map(|b| b.as_ref().clone()).collect(),
                gone: Vec::new(),
            };
        };
        let changed = self.changed.iter().filter(|(_, at)| **at > since);
        let upstreams = changed.filter_map(|(id, _)| self.get(id));
        let gone = self.gone.iter().filter(|(_, gone)| gone.revision > since);
        DirectoryChanges {
            revision: self.revision,
            is_whole: false,
            upstreams: upstreams.map(|b| b.as_ref().clone()).collect(),
            gone: gone
                .map(|(id, gone)| (id.clone(), gone.heartbeat))
                .collect(),
        }
    }

    /// Takes in what has changed in another daemon's directory.
    pub fn apply(&mut self, changes: DirectoryChanges, missing: Missing) {
        if changes.is_whole {
            match missing {
                Missing::Gone => return self.replace(changes.upstreams, None),
                Missing::GoneAt(until_ms) => {
                    return self.replace(changes.upstreams, Some(until_ms));
                }
                Missing::NotYetKnown => {}
            }
        }
        for (id, heartbeat) in changes.gone {
            self.remove(&id);
            // Heartbeats that only the other daemon heard are old ones, too.
            if let Some(gone) = self.gone.get_mut(&id) {
                gone.heartbeat = gone.heartbeat.max(heartbeat);
            }
        }
        for upstream in changes.upstreams {
            self.upsert(upstream);
        }
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

    /// Returns a number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn store(&mut self, upstream: Upstream) {
        let moved = self.service_of.get(&upstream.id);
        if let Some(old) = moved.filter(|s| **s != upstream.service).cloned() {
            self.by_service
                .get_mut(&old)
                .map(|b| b.remove(&upstream.id));
        }
        self.service_of
            .insert(upstream.id.clone(), upstream.service.clone());
        self.by_service
            .entry(upstream.service.clone())
            .or_default()
            .insert(upstream.id.clone(), Arc::new(upstream));
    }
}
