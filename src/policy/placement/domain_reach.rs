use {
    crate::names::{FailureDomain, UpstreamId},
    std::collections::{HashMap, HashSet},
};

/// Number of upstreams of a domain that must be unreachable, with no successful connection
/// to the domain in between, before the domain is avoided.
const MIN_UNREACHABLE: usize = 3;
/// How long an unreachable domain is avoided at first, in milliseconds. The time doubles
/// with each further failure, up to [`MAX_BACKOFF_MS`].
const FIRST_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct Reach {
    /// Upstreams that could not be reached since the last successful connection.
    unreachable: HashSet<UpstreamId>,
    /// Length of the current avoidance period; 0 while the domain counts as reachable.
    backoff_ms: u64,
    /// End of the current avoidance period.
    avoid_until_ms: u64,
}

/// Tracks which other failure domains are unreachable, judged by this daemon's own
/// connections, so that requests need not fail at every upstream of a domain that is cut
/// off. Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct DomainReach {
    domains: HashMap<FailureDomain, Reach>,
}

impl DomainReach {
    /// Records that an upstream of a domain could not be reached.
    pub fn record_unreachable(
        &mut self,
        domain: &FailureDomain,
        upstream: &UpstreamId,
        now_ms: u64,
    ) {
        let reach = self.domains.entry(domain.clone()).or_default();
        reach.unreachable.insert(upstream.clone());
        let was_unreachable = reach.backoff_ms > 0;
        let is_domain_unreachable = was_unreachable || reach.unreachable.len() >= MIN_UNREACHABLE;
        if is_domain_unreachable && now_ms >= reach.avoid_until_ms {
            reach.backoff_ms = (reach.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
            reach.avoid_until_ms = now_ms + reach.backoff_ms;
        }
    }

    /// Records that an upstream of a domain was reached, which ends the domain's avoidance.
    pub fn record_reached(&mut self, domain: &FailureDomain) {
        self.domains.remove(domain);
    }

    /// Records that a message of a domain's hub arrived. The link may have healed, so the current
    /// avoidance is made as short as the first one.
    pub fn record_heard(&mut self, domain: &FailureDomain) {
        if let Some(reach) = self.domains.get_mut(domain) {
            let began_ms = reach.avoid_until_ms.saturating_sub(reach.backoff_ms);
            reach.avoid_until_ms = reach.avoid_until_ms.min(began_ms + FIRST_BACKOFF_MS);
        }
    }

    /// Returns the domains that are avoided at `now_ms`.
    pub fn avoided(&self, now_ms: u64) -> Vec<FailureDomain> {
        let domains = self.domains.iter();
        let avoided = domains.filter(|(_, reach)| now_ms < reach.avoid_until_ms);
        avoided.map(|(domain, _)| domain.clone()).collect()
    }

    /// Returns whether a domain is avoided at `now_ms`.
    pub fn is_avoided(&self, domain: &FailureDomain, now_ms: u64) -> bool {
        let reach = self.domains.get(domain);
        reach.is_some_and(|reach| now_ms < reach.avoid_until_ms)
    }
}
