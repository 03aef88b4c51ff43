use {
    super::{IdHistory, StreamIds, UsualIds},
    crate::names::{ServiceName, UpstreamId, UpstreamVersion},
    std::collections::HashMap,
};

/// Number of software versions of a service that are remembered.
const MAX_VERSIONS: usize = 64;

/// The ids that the streams of each service have. What two software versions of a service write may differ.
#[derive(Debug, Default)]
pub struct ServiceIds {
    histories: HashMap<ServiceName, HashMap<UpstreamVersion, IdHistory>>,
}

impl ServiceIds {
    /// Returns what is known of the streams of a service's software version.
    pub fn usual(&self, service: &ServiceName, version: &UpstreamVersion) -> UsualIds {
        let versions = self.histories.get(service);
        let history = versions.and_then(|versions| versions.get(version));
        history.map(IdHistory::usual).unwrap_or_default()
    }

    /// Records what an upstream of a service's software version has written in one stream.
    pub fn record(
        &mut self,
        service: &ServiceName,
        version: &UpstreamVersion,
        upstream: &UpstreamId,
        ids: &StreamIds,
    ) {
        let versions = self.histories.entry(service.clone()).or_default();
        if versions.len() >= MAX_VERSIONS && !versions.contains_key(version) {
            versions.clear();
        }
        let history = versions.entry(version.clone()).or_default();
        history.record(upstream, ids);
    }

    /// Forgets the services for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        self.histories.retain(|service, _| is_known(service));
    }
}
