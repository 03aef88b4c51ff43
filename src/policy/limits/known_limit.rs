use {super::RequestRate, crate::names::UpstreamId};

/// What a daemon knows about an upstream's rate limit, as daemons announce it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The rate limit; `None` if the upstream no longer names one.
    pub rate: Option<RequestRate>,
    /// Version of the limit: incremented on each change that a daemon observes.
    pub version: u64,
    /// Age of the latest answer that confirmed this, in milliseconds.
    pub age_ms: u64,
}

impl KnownLimit {
    /// Returns true if this is to replace a limit with the given version and rate: its
    /// version is higher, or the versions are equal and its rate is lower.
    pub(super) fn supersedes(&self, version: u64, rate: Option<RequestRate>) -> bool {
        let per_s = |rate: Option<RequestRate>| rate.map_or(f64::INFINITY, RequestRate::per_s);
        let is_lower = per_s(self.rate) < per_s(rate);
        self.version > version || self.version == version && is_lower
    }
}

/// Limits to announce next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitsToAnnounce {
    /// For the hubs of all failure domains; from a daemon that is no hub, for the hubs of its
    /// own.
    pub hubs: Vec<KnownLimit>,
    /// For the daemons that report to this hub.
    pub members: Vec<KnownLimit>,
}
