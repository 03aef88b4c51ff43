use {
    super::Backend,
    crate::names::{BackendId, ServiceName},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// How many back ends that are gone are remembered.
const MAX_GONE: usize = 4_096;

/// The back ends that are known, by service.
///
/// Facts about one life of a back end only move forward: draining is final,
/// and one that is gone comes back only with a later heartbeat.
#[derive(Debug, Default)]
pub struct BackendDirectory {
    by_service: HashMap<ServiceName, BTreeMap<BackendId, Arc<Backend>>>,
    service_of: HashMap<BackendId, ServiceName>,
    /// The last heartbeat of each that is gone.
    gone: HashMap<BackendId, u64>,
    revision: u64,
}

impl BackendDirectory {
    /// Takes in what a back end says; returns whether it changed anything that
    /// matters for routing.
    pub fn upsert(&mut self, mut backend: Backend) -> bool {
        if let Some(last) = self.gone.get(&backend.id) {
            if backend.heartbeat <= *last {
                return false;
            }
            self.gone.remove(&backend.id);
        }
        let id = backend.id.clone();
        if let Some(known) = self.get(&id) {
            if backend.heartbeat < known.heartbeat && !backend.draining {
                return false;
            }
            backend.draining |= known.draining;
            backend.heartbeat = backend.heartbeat.max(known.heartbeat);
            let same_but_heartbeat = Backend {
                heartbeat: known.heartbeat,
                ..backend.clone()
            } == **known;
            if same_but_heartbeat {
                self.store(backend);
                return false;
            }
        }
        self.store(backend);
        self.revision += 1;
        true
    }

    /// Takes in that a back end's entry is gone.
    pub fn remove(&mut self, id: &BackendId) -> bool {
        let Some(service) = self.service_of.remove(id) else {
            return false;
        };
        let removed = self.by_service.get_mut(&service).and_then(|b| b.remove(id));
        if let Some(backend) = removed {
            if self.gone.len() >= MAX_GONE {
                self.gone.clear();
            }
            self.gone.insert(id.clone(), backend.heartbeat);
        }
        self.revision += 1;
        true
    }

    /// Replaces all that is known by a whole listing: what it lacks is gone.
    pub fn replace(&mut self, listing: Vec<Backend>) {
        let listed: Vec<_> = listing.iter().map(|b| b.id.clone()).collect();
        let known: Vec<_> = self.service_of.keys().cloned().collect();
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            self.remove(&id);
        }
        for backend in listing {
            self.upsert(backend);
        }
    }

    /// Returns a back end that is not gone.
    pub fn get(&self, id: &BackendId) -> Option<&Arc<Backend>> {
        let service = self.service_of.get(id)?;
        self.by_service.get(service)?.get(id)
    }

    /// Returns whether a back end may get new work.
    pub fn is_ready(&self, id: &BackendId) -> bool {
        self.get(id).is_some_and(|b| !b.draining)
    }

    /// Returns the back ends of a service that may get new work.
    pub fn ready(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<Backend>> {
        let all = self.by_service.get(service).into_iter();
        all.flat_map(|b| b.values()).filter(|b| !b.draining)
    }

    /// Returns all back ends that are not gone.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.by_service.values().flat_map(|b| b.values())
    }

    /// Returns a number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn store(&mut self, backend: Backend) {
        let moved = self.service_of.get(&backend.id);
        if let Some(old) = moved.filter(|s| **s != backend.service).cloned() {
            self.by_service.get_mut(&old).map(|b| b.remove(&backend.id));
        }
        self.service_of
            .insert(backend.id.clone(), backend.service.clone());
        self.by_service
            .entry(backend.service.clone())
            .or_default()
            .insert(backend.id.clone(), Arc::new(backend));
    }
}
