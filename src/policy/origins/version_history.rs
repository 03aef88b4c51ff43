use {
    crate::names::{ServiceName, UpstreamVersion},
    std::collections::HashMap,
};

/// How long a version counts as seen after it was last there, in milliseconds: the longest time for which
/// a client may hold events of a stream that it still takes up.
const HISTORY_MS: u64 = 60_000;

/// How many software versions of a service a daemon has seen within the time in which the streams began
/// that clients may still take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeenVersions {
    /// The daemon has not run for that long, and has seen one at most.
    Unsure,
    /// One at most.
    One,
    /// More than one.
    Several,
}

/// The software versions that a daemon has seen of each service. Times are milliseconds of its steady
/// clock, which begins with its start.
#[derive(Debug, Default)]
pub struct VersionHistory {
    seen: HashMap<ServiceName, Vec<SeenVersion>>,
}

#[derive(Debug)]
struct SeenVersion {
    version: UpstreamVersion,
    last_ms: u64,
}

impl VersionHistory {
    /// Records the versions of a service's known upstreams. Returns how many were seen so far.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        versions: &[UpstreamVersion],
        now_ms: u64,
    ) -> SeenVersions {
        if !self.seen.contains_key(service) {
            self.seen.insert(service.clone(), Vec::new());
        }
        let Some(seen) = self.seen.get_mut(service) else {
            return SeenVersions::Unsure;
        };
        for version in versions {
            match seen.iter_mut().find(|s| s.version == *version) {
                Some(known) => known.last_ms = now_ms,
                None => seen.push(SeenVersion {
                    version: version.clone(),
                    last_ms: now_ms,
                }),
            }
        }
        seen.retain(|s| now_ms <= s.last_ms + HISTORY_MS);
        match seen.len() {
            0 | 1 if now_ms < HISTORY_MS => SeenVersions::Unsure,
            0 | 1 => SeenVersions::One,
            _ => SeenVersions::Several,
        }
    }
}
