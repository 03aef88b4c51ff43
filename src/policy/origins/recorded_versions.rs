use {
    crate::names::{ServiceName, UpstreamVersion},
    std::collections::{BTreeMap, BTreeSet},
};

/// The software versions of each service, as a store has them that outlives all daemons. It holds each
/// version from before its first use until its last stream can no longer be taken up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedVersions {
    by_service: BTreeMap<ServiceName, BTreeSet<UpstreamVersion>>,
}

impl RecordedVersions {
    /// Adds a version of a service.
    pub fn add(&mut self, service: &ServiceName, version: &UpstreamVersion) {
        if self.has(service, version) {
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

    /// Sets the versions of a service. Without any, the service is removed.
    pub fn set(&mut self, service: &ServiceName, versions: BTreeSet<UpstreamVersion>) {
        match versions.is_empty() {
            true => self.by_service.remove(service),
            false => self.by_service.insert(service.clone(), versions),
        };
    }

    /// Returns whether a version of a service is in the set.
    pub fn has(&self, service: &ServiceName, version: &UpstreamVersion) -> bool {
        let versions = self.by_service.get(service);
        versions.is_some_and(|versions| versions.contains(version))
    }

    /// Returns whether all versions of another set are in this one.
    pub fn has_all(&self, other: &Self) -> bool {
        let mut services = other.services();
        services.all(|(service, versions)| versions.iter().all(|v| self.has(service, v)))
    }

    /// Returns the services and their versions.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &BTreeSet<UpstreamVersion>)> {
        self.by_service.iter()
    }

    /// Returns the services whose versions differ in `wanted`, with the versions there.
    pub fn changes_to(&self, wanted: &Self) -> Vec<(ServiceName, BTreeSet<UpstreamVersion>)> {
        let both = self.by_service.keys().chain(wanted.by_service.keys());
        let services: BTreeSet<&ServiceName> = both.collect();
        let differs = |s: &&ServiceName| self.by_service.get(*s) != wanted.by_service.get(*s);
        let changed = services.into_iter().filter(differs);
        changed
            .map(|service| {
                let versions = wanted.by_service.get(service);
                (service.clone(), versions.cloned().unwrap_or_default())
            })
            .collect()
    }
}
