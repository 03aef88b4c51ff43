use {
    crate::{
        cluster::BackendError,
        names::{ServiceName, SourcePosition},
        policy::{RecordedVersions, VersionsRecord},
    },
    async_trait::async_trait,
};

/// The recorded software versions of all services, as of a position in their store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionsPage {
    /// The versions.
    pub versions: RecordedVersions,
    /// The position after the newest record.
    pub position: SourcePosition,
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
        records: &[(ServiceName, VersionsRecord)],
    ) -> Result<Option<SourcePosition>, BackendError>;
}
