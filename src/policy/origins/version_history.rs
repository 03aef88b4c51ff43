use {
    super::{RecordedVersions, ServiceVersions},
    crate::names::{ServiceName, UpstreamVersion},
    std::collections::HashMap,
};

/// How long a version counts as seen after it was last there, in milliseconds: the longest time for which
/// a client may hold events of a stream that it still takes up.
const HISTORY_MS: u64 = 60_000;

/// How long a version counts as having served alone after another one appeared, in milliseconds: the longest
/// time after which a client comes back whose stream broke off before that. Later, a stream of unknown origin
/// is more likely one whose announcement was lost.
const ALONE_MS: u64 = 10_000;

/// How long after the start of a daemon streams may still be taken up that began before, in milliseconds: the
/// longest time for which a client tries to get its stream.
const UNRECORDED_MS: u64 = 15_000;
/// The age from which a service's record counts as older than the daemons that run now, in milliseconds: after
/// a loss of all daemons they start within that time of each other.
const SETTLED_MS: u64 = 5_000;

/// How many software versions of a service a daemon has seen within the time in which the streams began
/// that clients may still take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeenVersions {
    /// The daemon has not run for that long, does not know the versions from before its start, and has
    /// seen one at most.
    Unsure,
    /// One at most.
    One,
    /// More than one.
    Several,
}

/// What a daemon knows of the software versions of a service that served while the streams may have begun
/// that clients can still take up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownVersions {
    /// How many versions the daemon has seen.
    pub seen: SeenVersions,
    /// The version that is known to have served alone: until now if one was seen, else until the others
    /// appeared. The origins of streams are announced while there are several, so a stream whose origin
    /// nobody knows began at this version.
    pub alone: Option<UpstreamVersion>,
}

/// The software versions that a daemon has seen of each service. Times are milliseconds of its steady
/// clock, which begins with its start.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<ServiceName, ServiceHistory>,
    /// True once the record of the versions that served before the daemon's start is read.
    has_record: bool,
    /// True if no store keeps such a record.
    has_no_store: bool,
}

#[derive(Debug, Default)]
struct ServiceHistory {
    seen: Vec<SeenVersion>,
    /// True if a settled record names the versions from before the daemon's start.
    is_recorded: bool,
    /// True if the record may lack versions that the store has lost.
    may_lack_versions: bool,
    /// The version that served alone until another one appeared, and when that was.
    alone: Option<SeenVersion>,
}

#[derive(Clone, Debug)]
struct SeenVersion {
    version: UpstreamVersion,
    last_ms: u64,
}

impl VersionHistory {
    /// Records the versions of a service's known upstreams. Returns what is known so far.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        versions: &[UpstreamVersion],
        now_ms: u64,
    ) -> KnownVersions {
        let is_sure = self.is_sure(service, now_ms);
        let history = self.history_of(service);
        history.add(versions, is_sure, now_ms);
        history.known(is_sure)
    }

    /// Records that no store keeps the versions from before the daemon's start: they can't be found out, so
    /// those that are seen count as all.
    pub fn begin_without_store(&mut self) {
        self.has_no_store = true;
    }

    /// Adds the versions that a store has recorded which outlives all daemons. A version is in the record
    /// before any daemon uses it, so it holds all versions from before this daemon's start. That does not
    /// hold for a service whose record has just begun: the store may have lost the one before. Nor does it
    /// hold for a record that no daemon has confirmed since the store returned from a copy: another version
    /// that is in sight now may have served before the start too.
    pub fn add_record(&mut self, recorded: &RecordedVersions, unix_ms: u64, now_ms: u64) {
        self.has_record = true;
        for (service, record) in recorded.services() {
            let was_sure = self.is_sure(service, now_ms);
            let versions: Vec<UpstreamVersion> = record.versions.iter().cloned().collect();
            let history = self.history_of(service);
            history.is_recorded |= record.age_ms(unix_ms) >= SETTLED_MS;
            history.may_lack_versions |= !was_sure && !record.is_confirmed;
            if history.is_recorded && !was_sure {
                history.begin_with(&versions, now_ms);
            }
            history.add(&versions, was_sure, now_ms);
        }
    }

    /// Returns all versions that count as seen, which are those to be recorded.
    pub fn seen(&mut self, now_ms: u64) -> ServiceVersions {
        let mut seen = ServiceVersions::default();
        for (service, history) in &mut self.services {
            history.forget_expired(now_ms);
            for version in &history.seen {
                seen.add(service, &version.version);
            }
            if history.may_lack(now_ms) {
                seen.add_incomplete(service);
            }
        }
        seen
    }

    /// Returns whether all versions are known that served while streams may have begun.
    fn is_sure(&self, service: &ServiceName, now_ms: u64) -> bool {
        let history = self.services.get(service);
        self.has_no_store
            || history.is_some_and(|history| history.is_recorded)
            || (self.has_record && now_ms >= UNRECORDED_MS)
            || now_ms >= HISTORY_MS
    }

    fn history_of(&mut self, service: &ServiceName) -> &mut ServiceHistory {
        self.services.entry(service.clone()).or_default()
    }
}

impl ServiceHistory {
    /// Begins with the versions from before this daemon's start. What it has seen itself so far appeared
    /// after those.
    fn begin_with(&mut self, versions: &[UpstreamVersion], now_ms: u64) {
        let seen_since = std::mem::take(&mut self.seen);
        self.add(versions, true, now_ms);
        let seen_since: Vec<UpstreamVersion> = seen_since.into_iter().map(|s| s.version).collect();
        self.add(&seen_since, true, now_ms);
    }

    fn add(&mut self, versions: &[UpstreamVersion], is_sure: bool, now_ms: u64) {
        self.forget_expired(now_ms);
        let is_whole = is_sure && !self.may_lack(now_ms);
        let alone = self.only().filter(|_| is_whole).cloned();
        for version in versions {
            self.record(version, now_ms);
        }
        if let Some(version) = alone
            && self.seen.len() > 1
        {
            let last_ms = now_ms;
            self.alone = Some(SeenVersion { version, last_ms });
        }
    }

    fn record(&mut self, version: &UpstreamVersion, now_ms: u64) {
        match self.seen.iter_mut().find(|s| s.version == *version) {
            Some(known) => known.last_ms = now_ms,
            None => self.seen.push(SeenVersion {
                version: version.clone(),
                last_ms: now_ms,
            }),
        }
    }

    /// Returns whether versions from before the daemon's start may be missing of which clients still take up
    /// streams.
    fn may_lack(&self, now_ms: u64) -> bool {
        self.may_lack_versions && now_ms < UNRECORDED_MS
    }

    fn forget_expired(&mut self, now_ms: u64) {
        self.seen.retain(|s| now_ms <= s.last_ms + HISTORY_MS);
        self.alone
            .take_if(|alone| now_ms > alone.last_ms + ALONE_MS);
    }

    fn only(&self) -> Option<&UpstreamVersion> {
        match self.seen.as_slice() {
            [only] => Some(&only.version),
            _ => None,
        }
    }

    fn known(&self, is_sure: bool) -> KnownVersions {
        let (seen, alone) = match self.seen.len() {
            0 | 1 if !is_sure => (SeenVersions::Unsure, None),
            0 | 1 => (SeenVersions::One, self.only()),
            _ => {
                let alone = self.alone.as_ref().map(|alone| &alone.version);
                (SeenVersions::Several, alone)
            }
        };
        let alone = alone.cloned();
        KnownVersions { seen, alone }
    }
}
