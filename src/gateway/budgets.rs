use {
    super::*,
    crate::{names::ServiceName, policy::*, routing::Tenant},
    std::time::Duration,
};

/// Of the budget for repeated sends, how much is used.
const BUDGET_USE: f64 = 0.75;

/// Repeated sends, demand and quotas.
impl Gateway {
    /// Notes a first send to a service.
    pub fn earn_retry(&self, service: &ServiceName) {
        self.with_allowance(service, RetryAllowance::earn);
    }

    /// Spends a repeated send, if one is left.
    pub fn spend_retry(&self, context: &RequestContext) -> bool {
        self.with_allowance(&context.service, RetryAllowance::spend)
    }

    fn with_allowance<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryAllowance) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let slack_share = bounds.retry_slack * BUDGET_USE / self.daemons() as f64;
        let ratio = bounds.retry_ratio * BUDGET_USE;
        let mut retries = self.retries.lock();
        let fresh = || RetryAllowance::new(ratio, slack_share);
        let allowance = retries.entry(service.clone()).or_insert_with(fresh);
        allowance.set_share(slack_share);
        act(allowance)
    }

    /// Notes work that is sent to a service: prompt tokens to read.
    pub(super) fn note_demand(&self, service: &ServiceName, work: u64) {
        let now_ms = self.steady_ms();
        let mut demand = self.demand.lock();
        let meter = demand.entry(service.clone()).or_default();
        meter.note(work as f64, now_ms);
    }

    /// Returns the work a second that this daemon was offered, by service.
    pub fn own_demand(&self) -> Vec<(String, f32)> {
        let now_ms = self.steady_ms();
        let demand = self.demand.lock();
        let own = demand.iter();
        own.map(|(name, meter)| (name.to_string(), meter.per_s(now_ms) as f32))
            .collect()
    }

    /// Returns the work a second that all daemons were offered.
    pub fn demand_of(&self, service: &ServiceName) -> f64 {
        let now_ms = self.steady_ms();
        let own = self
            .demand
            .lock()
            .get(service)
            .map_or(0.0, |m| m.per_s(now_ms));
        own + self.peers.lock().demand_of(service.as_str())
    }

    /// Lets a tenant's request in.
    ///
    /// # Errors
    ///
    /// Returns after how long it would be let in.
    pub fn admit(&self, tenant: &Tenant, cost: f64) -> Result<(), Duration> {
        let start_part = 1.0 / self.daemons() as f64;
        let now_ms = self.steady_ms();
        let mut quotas = self.quotas.lock();
        let admitted = quotas.admit(tenant, cost, start_part, now_ms);
        if quotas.should_tell(tenant) {
            self.tell_early.notify_one();
        }
        admitted.map_err(Duration::from_millis)
    }
}
