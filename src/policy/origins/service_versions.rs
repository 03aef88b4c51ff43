use {
    crate::names::{ServiceName, UpstreamVersion},
    std::collections::{BTreeMap, BTreeSet},
};

/// The software versions of services, as far as a daemon knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceVersions {
    by_service: BTreeMap<ServiceName, BTreeSet<UpstreamVersion>>,
    /// The services of which other versions may have served too.
    incomplete: BTreeSet<ServiceName>,
}

impl ServiceVersions {
    /// Adds a version of a service.
    pub fn add(&mut self, service: &ServiceName, version: &UpstreamVersion) {
        let known = self.by_service.get(service);
        if known.is_some_and(|versions| versions.contains(version)) {
            return;
        }
        let versions = self.by_service.entry(service.clone()).or_default();
        versions.insert(version.clone());
    }

    /// Adds all versions of another set.
    pub fn add_all(&mut self, other: &Self) {
        for (service, versions) in other.services() {
            for version in versions {
                self.add(service, version);
            }
        }
    }

    /// Records that other versions of a service may have served too.
    pub fn add_incomplete(&mut self, service: &ServiceName) {
        self.incomplete.insert(service.clone());
    }

    /// Returns whether other versions of a service may have served too.
    pub fn may_lack(&self, service: &ServiceName) -> bool {
        self.incomplete.contains(service)
    }

    /// Returns the versions of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&BTreeSet<UpstreamVersion>> {
        self.by_service.get(service)
    }

    /// Returns the services and their versions.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &BTreeSet<UpstreamVersion>)> {
        self.by_service.iter()
    }
}
