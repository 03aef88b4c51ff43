use {
    crate::{
        cluster::BackendError,
        names::{ServiceName, SourcePosition, UpstreamVersion},
        policy::RecordedVersions,
    },
    async_trait::async_trait,
    std::collections::BTreeSet,
};

/// The recorded software versions of all services, as of a position in their store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionsPage {
    /// The versions.
    pub versions: RecordedVersions,
    /// False if records were written in a former era of the store, so that it may have lost later ones.
    pub is_of_this_era: bool,
    /// The position after the newest record.
    pub position: SourcePosition,
}

impl VersionsPage {
    /// Returns the services whose records have to be written so that the store holds the versions in
    /// `wanted`, all in this era.
    pub fn changes_to(
        &self,
        wanted: &RecordedVersions,
    ) -> Vec<(ServiceName, BTreeSet<UpstreamVersion>)> {
        if self.is_of_this_era {
            return self.versions.changes_to(wanted);
        }
        let removed = self.versions.changes_to(wanted).into_iter();
        let removed = removed.filter(|(_, versions)| versions.is_empty());
        let present = wanted.services().map(|(s, v)| (s.clone(), v.clone()));
        removed.chain(present).collect()
    }
}

/// Store of the software versions of each service. It outlives daemons.
#[async_trait]
pub trait VersionRecords: Send + Sync {
    /// Reads the newest records of all services.
    ///
    /// # Errors
    ///
    /// Returns an error if the read failed.
    async fn read(&self) -> Result<VersionsPage, BackendError>;

    /// Writes the versions of services, replacing their earlier records, unless the newest record is at
    /// another position. A service without versions is removed. Returns the position after the records,
    /// or `None` if nothing was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the records may not be written.
    async fn write_at(
        &self,
        position: SourcePosition,
        records: &[(ServiceName, BTreeSet<UpstreamVersion>)],
    ) -> Result<Option<SourcePosition>, BackendError>;
}
