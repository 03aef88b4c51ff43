//! Limits of the numbers in a configuration. Whoever writes a number beyond them means "without limit", and sums
//! of such numbers would overflow.

use super::{AccountTerms, Autoscaling, ClientLimits, Route, RoutingConfig};

/// Longest time, in milliseconds: a day.
const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1_000;
/// Longest time, in seconds.
const MAX_TIME_S: f64 = 24.0 * 60.0 * 60.0;
/// Largest request head, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024 * 1024;
/// Most upstreams of a service in a failure domain.
const MAX_PER_DOMAIN: u32 = 100_000;
/// Most units of a quota; sums of them stay exact as `f64`.
const MAX_UNITS: f64 = 1e15;

impl RoutingConfig {
    /// Returns the configuration with each number at its limit that is beyond it.
    #[must_use]
    pub fn within_limits(mut self) -> Self {
        self.routes.iter_mut().for_each(limit_route);
        self.accounts.iter_mut().for_each(limit_account);
        limit_client_limits(&mut self.limits);
        let scalings = self
            .services
            .iter_mut()
            .filter_map(|s| s.autoscaling.as_mut());
        scalings.for_each(limit_autoscaling);
        self
    }
}

fn limit_route(route: &mut Route) {
    route.timeout_ms = route.timeout_ms.min(MAX_TIME_MS);
    route.target_latency_ms = route.target_latency_ms.min(MAX_TIME_MS);
    route.event_gap_ms = route.event_gap_ms.map(|ms| ms.min(MAX_TIME_MS));
}

fn limit_account(account: &mut AccountTerms) {
    account.rate_per_s = account.rate_per_s.min(MAX_UNITS);
    account.burst = account.burst.min(MAX_UNITS);
    account.plain_cost = account.plain_cost.min(MAX_UNITS);
}

fn limit_client_limits(limits: &mut ClientLimits) {
    limits.max_header_bytes = limits.max_header_bytes.min(MAX_HEADER_BYTES);
    limits.body_timeout_ms = limits.body_timeout_ms.min(MAX_TIME_MS);
    limits.idle_timeout_ms = limits.idle_timeout_ms.min(MAX_TIME_MS);
}

fn limit_autoscaling(scaling: &mut Autoscaling) {
    scaling.min_per_domain = scaling.min_per_domain.min(MAX_PER_DOMAIN);
    scaling.max_per_domain = scaling.max_per_domain.min(MAX_PER_DOMAIN);
    scaling.boot_s = scaling.boot_s.min(MAX_TIME_S);
}
