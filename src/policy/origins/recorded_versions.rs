use {
    super::ServiceVersions,
    crate::names::{ServiceName, UpstreamVersion},
    std::collections::{BTreeMap, BTreeSet},
};

/// The software versions of each service, as a store has them that outlives all daemons. It holds each
/// version from before its first use until its last stream can no longer be taken up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedVersions {
    by_service: BTreeMap<ServiceName, VersionsRecord>,
}

/// The record of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionsRecord {
    /// The versions; none if the record is to be removed.
    pub versions: BTreeSet<UpstreamVersion>,
    /// When the service was first recorded, in Unix milliseconds.
    pub since_ms: u64,
    /// True if a daemon that knew all versions has written the record since the store last returned from a
    /// copy of its data. One from before may lack versions that the store has lost.
    pub is_confirmed: bool,
}

impl VersionsRecord {
    /// Returns for how long the service has been recorded, in milliseconds.
    pub fn age_ms(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(self.since_ms)
    }
}

impl RecordedVersions {
    /// Sets the record of a service. One without versions removes it.
    pub fn set(&mut self, service: &ServiceName, record: VersionsRecord) {
        match record.versions.is_empty() {
            true => self.by_service.remove(service),
            false => self.by_service.insert(service.clone(), record),
        };
    }

    /// Returns whether all these versions are recorded.
    pub fn has_all(&self, versions: &ServiceVersions) -> bool {
        let mut services = versions.services();
        services.all(|(service, versions)| {
            let record = self.by_service.get(service);
            record.is_some_and(|record| record.versions.is_superset(versions))
        })
    }

    /// Returns the services and their records.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &VersionsRecord)> {
        self.by_service.iter()
    }

    /// Returns the records that have to be written so that the store holds the wanted versions.
    pub fn changes_to(
        &self,
        wanted: &ServiceVersions,
        unix_ms: u64,
    ) -> Vec<(ServiceName, VersionsRecord)> {
        let recorded = self.by_service.keys();
        let both = recorded.chain(wanted.services().map(|(service, _)| service));
        let services: BTreeSet<&ServiceName> = both.collect();
        let changes = services.into_iter().filter_map(|service| {
            let before = self.by_service.get(service);
            let record = VersionsRecord {
                since_ms: before.map_or(unix_ms, |before| before.since_ms),
                versions: wanted.get(service).cloned().unwrap_or_default(),
                is_confirmed: !wanted.may_lack(service) || before.is_some_and(|b| b.is_confirmed),
            };
            (before != Some(&record)).then(|| (service.clone(), record))
        });
        changes.collect()
    }
}
