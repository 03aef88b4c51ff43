//! Which software versions the services have had, as far as this daemon knows.

use {
    super::Gateway,
    crate::{
        cluster::{VersionRecorder, VersionsPage},
        names::ServiceName,
        policy::{KnownVersions, RecordedVersions, SeenVersions},
        upstreams::UpstreamDirectory,
    },
};

impl Gateway {
    /// Returns what this daemon knows of the software versions that a service has had lately.
    pub fn known_versions(&self, service: &ServiceName) -> KnownVersions {
        let list = self.directory.read().ready_list(service);
        let now_ms = self.steady_ms();
        let mut history = self.version_history.lock();
        let versions = history.observe(service, &list.versions, now_ms);
        let has_record = self.version_recorder.get().is_some();
        match versions.seen {
            // Without a platform nothing is known from before the start, nor can it be found out.
            SeenVersions::Unsure if !has_record => KnownVersions {
                seen: SeenVersions::One,
                ..versions
            },
            _ => versions,
        }
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
    pub(crate) fn apply_recorded_versions(&self, page: &VersionsPage) {
        let now_ms = self.steady_ms();
        let mut history = self.version_history.lock();
        match page.is_of_this_era {
            true => history.add_record(&page.versions, now_ms),
            false => history.add_outdated_record(&page.versions, now_ms),
        }
    }

    /// Returns the software versions of all services that have to be recorded.
    pub(crate) fn versions_to_record(&self) -> RecordedVersions {
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
