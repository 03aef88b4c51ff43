use {super::RequestRate, crate::names::UpstreamId};

/// What is known of an upstream's limit, as daemons tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What it takes; none if it names no limit any more.
    pub rate: Option<RequestRate>,
    /// How many times it is known to have changed.
    pub version: u64,
    /// How old the answer is that said so, in milliseconds.
    pub age_ms: u64,
}

impl KnownLimit {
    /// Returns whether it counts in place of what is known.
    pub(super) fn supersedes(&self, version: u64, rate: Option<RequestRate>) -> bool {
        let per_s = |rate: Option<RequestRate>| rate.map_or(f64::INFINITY, RequestRate::per_s);
        let is_lower = per_s(self.rate) < per_s(rate);
        self.version > version || self.version == version && is_lower
    }
}

/// Limits to announce next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitsToAnnounce {
    /// The hubs of all failure domains, or those of the daemon's own if it is none.
    pub hubs: Vec<KnownLimit>,
    /// The daemons that report to a hub.
    pub members: Vec<KnownLimit>,
}
