use {
    crate::names::{FailureDomain, UpstreamId},
    std::collections::{HashMap, HashSet},
};

/// How many upstreams of a zone must be out of reach, one after the other,
/// before the zone counts as cut off.
const MIN_UNREACHABLE: usize = 3;
/// How long a zone that is cut off is left alone at first, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct Reach {
    unreachable: HashSet<UpstreamId>,
    backoff_ms: u64,
    avoid_until_ms: u64,
}

/// Which other zones this daemon can't reach now, by its own connections: it
/// then doesn't find that out at each upstream anew. Times are milliseconds of
/// the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct ZoneReach {
    zones: HashMap<FailureDomain, Reach>,
}

impl ZoneReach {
    /// Notes that an upstream of a zone could not be reached.
    pub fn note_unreachable(&mut self, zone: &FailureDomain, upstream: &UpstreamId, now_ms: u64) {
        let reach = self.zones.entry(zone.clone()).or_default();
        reach.unreachable.insert(upstream.clone());
        let is_known_cut = reach.backoff_ms > 0;
        let is_cut = is_known_cut || reach.unreachable.len() >= MIN_UNREACHABLE;
        if is_cut && now_ms >= reach.avoid_until_ms {
            reach.backoff_ms = (reach.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
            reach.avoid_until_ms = now_ms + reach.backoff_ms;
        }
    }

    /// Notes that an upstream of a zone was reached.
    pub fn note_reached(&mut self, zone: &FailureDomain) {
        self.zones.remove(zone);
    }

    /// Returns whether a zone is to be left alone now.
    pub fn is_avoided(&self, zone: &FailureDomain, now_ms: u64) -> bool {
        let reach = self.zones.get(zone);
        reach.is_some_and(|reach| now_ms < reach.avoid_until_ms)
    }
}
