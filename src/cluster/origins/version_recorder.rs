use {
    super::{VersionRecords, VersionsPage},
    crate::{cluster::BackendError, gateway::Gateway, names::now_ms, policy::ServiceVersions},
    parking_lot::Mutex,
    std::{fmt, sync::Arc, time::Duration},
};

/// Interval between checks for versions that have to be recorded, or need no record any more.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which the upstreams of a new version wait for its record.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(300);
/// Longest time for which a request waits for a read.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of writes of one call, each of which fails if another daemon has written.
const MAX_WRITES: usize = 4;

/// Keeps the software versions of each service in a store that outlives all daemons.
///
/// The daemons that read the upstreams from the shared source record a version before they use its first
/// upstream, or announce it to other daemons. After a loss of all daemons the record thus shows at which
/// versions their streams may have begun.
pub struct VersionRecorder {
    records: Arc<dyn VersionRecords>,
    /// What the store holds, as far as known; `None` before the first read.
    known: Mutex<Option<VersionsPage>>,
    /// Lets one call at a time change the records.
    calls: tokio::sync::Mutex<()>,
}

impl fmt::Debug for VersionRecorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = &self.known;
        f.debug_struct("VersionRecorder")
            .field("known", known)
            .finish_non_exhaustive()
    }
}

impl VersionRecorder {
    /// Creates a recorder that keeps its records in a store.
    pub fn new(records: Arc<dyn VersionRecords>) -> Self {
        Self {
            records,
            known: Mutex::default(),
            calls: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the known records, unless the store may have lost them since.
    fn known(&self, gateway: &Gateway) -> Option<VersionsPage> {
        let era = gateway.directory.read().era();
        let known = self.known.lock();
        let is_lost = |known: &VersionsPage| era.follows_restore(known.position.era);
        known.clone().filter(|known| !is_lost(known))
    }

    /// Waits until these versions are recorded, for a limited time. They may be used then.
    pub async fn record_before_use(&self, gateway: &Gateway, versions: &ServiceVersions) {
        let has_all = |known: &VersionsPage| known.versions.has_all(versions);
        if self.known.lock().as_ref().is_some_and(has_all) {
            return;
        }
        let record = self.record(gateway, versions);
        let error = match tokio::time::timeout(MAX_RECORD_WAIT, record).await {
            Ok(Ok(())) => return,
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_string(),
        };
        log::warn!(target: "stream", "versions of services are used before they are recorded. error=\"{error}\"");
    }

    /// Reads the records again, for a limited time, so that the gateway knows versions that others have recorded.
    /// Returns whether they were read.
    pub(crate) async fn reread(&self, gateway: &Gateway) -> bool {
        match tokio::time::timeout(MAX_READ_WAIT, self.records.read()).await {
            Ok(Ok(page)) => {
                gateway.apply_recorded_versions(&page.versions);
                true
            }
            _ => false,
        }
    }

    /// Reads the records once. A daemon that reads the shared source then also keeps them current.
    async fn keep(&self, gateway: &Gateway) -> Result<(), BackendError> {
        let is_writer = *gateway.reads_source.borrow();
        match is_writer {
            true => self.record(gateway, &ServiceVersions::default()).await,
            false if self.known.lock().is_some() => Ok(()),
            false => self.read_if_unknown(gateway).await.map(drop),
        }
    }

    /// Records the versions that this daemon has seen, and the needed ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the needed versions may not be recorded.
    async fn record(
        &self,
        gateway: &Gateway,
        needed: &ServiceVersions,
    ) -> Result<(), BackendError> {
        let _call = self.calls.lock().await;
        for _ in 0..MAX_WRITES {
            let mut page = self.read_if_unknown(gateway).await?;
            let mut wanted = gateway.versions_to_record();
            wanted.add_all(needed);
            let changes = page.versions.changes_to(&wanted, now_ms());
            if changes.is_empty() {
                return Ok(());
            }
            // Until the outcome of the write is known, so are the records not.
            *self.known.lock() = None;
            let written = self.records.write_at(page.position, &changes).await?;
            if let Some(position) = written.filter(|p| p.era == page.position.era) {
                log::info!(target: "stream", "versions of services recorded. services={changes:?}");
                for (service, record) in changes {
                    page.versions.set(&service, record);
                }
                page.position = position;
                *self.known.lock() = Some(page);
                return Ok(());
            }
        }
        Err(BackendError::NotDone("other daemons write".to_string()))
    }

    async fn read_if_unknown(&self, gateway: &Gateway) -> Result<VersionsPage, BackendError> {
        if let Some(known) = self.known(gateway) {
            return Ok(known);
        }
        let page = self.records.read().await?;
        gateway.apply_recorded_versions(&page.versions);
        *self.known.lock() = Some(page.clone());
        Ok(page)
    }
}

/// Reads which versions served before this daemon's start, and keeps the records current while this daemon
/// reads the shared source.
pub async fn keep_versions_recorded(gateway: Arc<Gateway>) {
    let Some(recorder) = gateway.version_recorder() else {
        return;
    };
    loop {
        let pause = match recorder.keep(&gateway).await {
            Ok(()) => CHECK_INTERVAL,
            Err(e) => {
                log::info!(target: "stream", "versions of services could not be recorded. error=\"{e}\"");
                FAILURE_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}
