//! Which software versions the services have had, as far as this daemon knows.

use {
    super::Gateway,
    crate::{
        cluster::VersionRecorder,
        names::{self, ServiceName},
        policy::{KnownVersions, RecordedVersions, SeenVersions, ServiceVersions},
        upstreams::UpstreamDirectory,
    },
};

impl Gateway {
    /// Returns what this daemon knows of the software versions that a service has had lately.
    pub fn known_versions(&self, service: &ServiceName) -> KnownVersions {
        let list = self.directory.read().ready_list(service);
        let now_ms = self.steady_ms();
        let mut history = self.version_history.lock();
        history.observe(service, &list.versions, now_ms)
    }

    /// Records the software versions of all known upstreams as seen. Each change of the directory calls
    /// it, since a version may come and go while no request of its service arrives here.
    pub(super) fn observe_versions(&self, directory: &UpstreamDirectory) {
        let now_ms = self.steady_ms();
        for service in directory.services() {
            let list = directory.ready_list(service);
            let mut history = self.version_history.lock();
            history.observe(service, &list.versions, now_ms);
        }
    }

    /// Returns whether this daemon knows that a service has had one software version only. The origins
    /// of its streams need not be announced then.
    pub(super) fn has_one_version(&self, service: &ServiceName) -> bool {
        self.known_versions(service).seen == SeenVersions::One
    }

    /// Adds the software versions that were recorded before this daemon started, or by others.
    pub(crate) fn apply_recorded_versions(&self, recorded: &RecordedVersions) {
        let now_ms = self.steady_ms();
        let mut history = self.version_history.lock();
        history.add_record(recorded, names::now_ms(), now_ms);
    }

    /// Records that no platform keeps the software versions from before the start of this daemon.
    pub fn begin_without_version_records(&self) {
        self.version_history.lock().begin_without_store();
    }

    /// Waits until these versions of services are recorded, for a limited time. They may be used then.
    pub async fn until_recorded(&self, versions: &ServiceVersions) {
        if let Some(recorder) = self.version_recorder() {
            recorder.record_before_use(self, versions).await;
        }
    }

    /// Reads again which software versions are recorded, for a limited time. Returns whether they were read.
    pub(super) async fn reread_versions(&self) -> bool {
        match self.version_recorder() {
            Some(recorder) => recorder.reread(self).await,
            None => false,
        }
    }

    /// Returns the software versions of all services that have to be recorded.
    pub(crate) fn versions_to_record(&self) -> ServiceVersions {
        self.observe_versions(&self.directory.read());
        let now_ms = self.steady_ms();
        self.version_history.lock().seen(now_ms)
    }

    /// Sets the recorder of software versions. It is set once, when the daemon starts.
    pub fn set_version_recorder(&self, recorder: VersionRecorder) {
        self.version_recorder.get_or_init(|| recorder);
    }

    /// Returns the recorder of software versions; none without a platform.
    pub(crate) fn version_recorder(&self) -> Option<&VersionRecorder> {
        self.version_recorder.get()
    }
}
