use {
    crate::names::{FailureDomain, UpstreamId},
    std::collections::{HashMap, HashSet},
};

/// How many upstreams of a domain must be out of reach, one after the other,
/// before the domain counts as cut off.
const MIN_UNREACHABLE: usize = 3;
/// How long a domain that is cut off is left alone at first, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct Reach {
    unreachable: HashSet<UpstreamId>,
    backoff_ms: u64,
    avoid_until_ms: u64,
}

/// Which other domains this daemon can't reach now, by its own connections: it
/// then doesn't find that out at each upstream anew. Times are milliseconds of
/// the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct DomainReach {
    domains: HashMap<FailureDomain, Reach>,
}

impl DomainReach {
    /// Notes that an upstream of a domain could not be reached.
    pub fn record_unreachable(
        &mut self,
        domain: &FailureDomain,
        upstream: &UpstreamId,
        now_ms: u64,
    ) {
        let reach = self.domains.entry(domain.clone()).or_default();
        reach.unreachable.insert(upstream.clone());
        let is_known_cut = reach.backoff_ms > 0;
        let is_cut = is_known_cut || reach.unreachable.len() >= MIN_UNREACHABLE;
        if is_cut && now_ms >= reach.avoid_until_ms {
            reach.backoff_ms = (reach.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
            reach.avoid_until_ms = now_ms + reach.backoff_ms;
        }
    }

    /// Notes that an upstream of a domain was reached.
    pub fn record_reached(&mut self, domain: &FailureDomain) {
        self.domains.remove(domain);
    }

    /// Returns the domains that are to be left alone now.
    pub fn avoided(&self, now_ms: u64) -> Vec<FailureDomain> {
        let domains = self.domains.iter();
        let avoided = domains.filter(|(_, reach)| now_ms < reach.avoid_until_ms);
        avoided.map(|(domain, _)| domain.clone()).collect()
    }

    /// Returns whether a domain is to be left alone now.
    pub fn is_avoided(&self, domain: &FailureDomain, now_ms: u64) -> bool {
        let reach = self.domains.get(domain);
        reach.is_some_and(|reach| now_ms < reach.avoid_until_ms)
    }
}
