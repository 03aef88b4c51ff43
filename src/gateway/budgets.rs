use {
    super::*,
    crate::{
        clock::BootInstant, cluster::RequestUrgency, names::ServiceName, policy::*,
        routing::AccountTerms,
    },
    rand::Rng,
    std::time::Duration,
};

/// Share of the retries earned by first sends that is used.
const EARNED_RETRY_USE: f64 = 0.75;
/// Wait before another attempt to admit a request that was refused because this daemon has
/// admitted its share since its last notice: the shortest time between two notices plus
/// some network delay.
const NOT_YET_DUE_PAUSE: Duration = Duration::from_millis(30);

/// Retry budgets, demand and quotas.
impl Gateway {
    /// Records a first send to a service, which earns part of a retry.
    pub fn earn_retry(&self, service: &ServiceName) {
        self.with_allowance(service, RetryAllowance::earn);
    }

    /// Takes a retry from the service's budget. Returns false if none is left.
    pub fn spend_retry(&self, context: &RequestContext) -> bool {
        let draw = self.rng.lock().random();
        self.with_allowance(&context.service, |allowance| allowance.spend(draw))
    }

    fn with_allowance<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryAllowance) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let slack_share = slack_share(bounds.retry_slack, self.daemons());
        let ratio = bounds.retry_ratio * EARNED_RETRY_USE;
        let window_ms = self.settings.retry_window_ms();
        let mut retries = self.retries.lock();
        let fresh = || RetryAllowance::with_withheld_slack(ratio, slack_share, window_ms);
        let allowance = retries.entry(service.clone()).or_insert_with(fresh);
        allowance.set_share(slack_share);
        allowance.release_slack(self.steady_ms());
        act(allowance)
    }

    /// Records work that is sent to a service, in prompt tokens to compute.
    pub(super) fn record_demand(&self, service: &ServiceName, work: u64) {
        let now_ms = self.steady_ms();
        let mut demand = self.demand.lock();
        let meter = demand.entry(service.clone()).or_default();
        meter.record(work as f64, now_ms);
    }

    /// Returns the demand at this daemon by service, in prompt tokens per second.
    pub fn own_demand(&self) -> Vec<(String, f32)> {
        let now_ms = self.steady_ms();
        let demand = self.demand.lock();
        let own = demand.iter();
        own.map(|(name, meter)| (name.to_string(), meter.per_s(now_ms) as f32))
            .collect()
    }

    /// Returns the demand for a service at all known daemons, in prompt tokens per second.
    pub fn demand_of(&self, service: &ServiceName) -> f64 {
        let now_ms = self.steady_ms();
        let own = self
            .demand
            .lock()
            .get(service)
            .map_or(0.0, |m| m.per_s(now_ms));
        own + self.peers.lock().demand_of(service.as_str())
    }

    /// Admits a request of a client account. A request that can be admitted soon is held for up to
    /// `max_wait` instead of being refused. While the quota is used up, requests that state their
    /// urgency are admitted by priority, the others in the order of arrival.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be retried.
    pub async fn admit(
        &self,
        terms: &AccountTerms,
        cost: f64,
        urgency: Option<RequestUrgency>,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let max_wait = match self.settings.mechanisms.held_requests {
            true => max_wait,
            false => Duration::ZERO,
        };
        let until = BootInstant::now() + max_wait;
        let start_share = 1.0 / self.daemons() as f64;
        self.quotas
            .lock()
            .record_demand(terms, cost, start_share, self.steady_ms());
        let ordered = self.quota_urgency(urgency);
        let ordered = ordered.map(|urgency| ordered_request(urgency, cost));
        let mut is_repeat = false;
        loop {
            let tried = match &ordered {
                Some(request) => self.try_admit_in_order(terms, request, is_repeat, start_share),
                None => self
                    .try_admit(terms, cost, start_share)
                    .map_err(OrderRefusal::Unordered),
            };
            let Err(refusal) = tried else {
                return Ok(());
            };
            let retry_after = Duration::from_millis(refusal.retry_after_ms());
            let Some(pause) = self.pause_after(&refusal, terms) else {
                return Err(retry_after);
            };
            if BootInstant::now() + pause > until {
                return Err(retry_after);
            }
            tokio::time::sleep(pause).await;
            is_repeat = true;
        }
    }

    /// Returns how long a request is held before it is tried again; none if it is refused at once.
    fn pause_after(&self, refusal: &OrderRefusal, terms: &AccountTerms) -> Option<Duration> {
        match refusal {
            OrderRefusal::Unordered(_) if !self.quotas.lock().is_within_rate(terms) => None,
            OrderRefusal::Unordered(QuotaWait::NotYetDue)
            | OrderRefusal::Missed(QuotaWait::NotYetDue) => Some(NOT_YET_DUE_PAUSE),
            OrderRefusal::Unordered(QuotaWait::UsedUp(_))
            | OrderRefusal::Missed(QuotaWait::UsedUp(_))
            | OrderRefusal::Turn(_) => Some(Duration::from_millis(refusal.retry_after_ms())),
            OrderRefusal::NoTurn(_) => None,
        }
    }

    /// Returns the urgency by which a request is admitted; none if the order of arrival decides.
    fn quota_urgency(&self, urgency: Option<RequestUrgency>) -> Option<RequestUrgency> {
        urgency.filter(|_| self.settings.mechanisms.quota_order)
    }

    /// Returns the units of an admitted request to its quota, as the request is refused before it
    /// runs.
    pub(super) fn give_back(
        &self,
        terms: &AccountTerms,
        cost: f64,
        urgency: Option<RequestUrgency>,
    ) {
        let priority = self.quota_urgency(urgency).map(|u| u.route_priority);
        self.quotas.lock().give_back(terms, cost, priority);
    }

    /// Logs that a request is refused because it exceeds its client account's quota.
    pub fn log_refusal(
        &self,
        account: &AccountTerms,
        cost: f64,
        urgency: Option<RequestUrgency>,
        wait: Duration,
        request: &str,
    ) {
        let fingerprint = urgency.map_or(0, |u| u.fingerprint);
        let (left, asked, (reserve, turn_ms)) = {
            let quotas = self.quotas.lock();
            let turn = quotas.turn_of(account, fingerprint, self.steady_ms());
            (quotas.level(account), quotas.demand(account), turn)
        };
        let unknown = || "-".to_string();
        log::warn!(
            target: "quota",
            "refused. request={request} account={} cost={cost} left={left:.0} asked={asked:.0} rate={} burst={} wait_ms={} rank={} reserve={reserve:.0} turn_ms={}",
            account.name,
            account.rate_per_s,
            account.burst,
            wait.as_millis(),
            urgency.map_or_else(unknown, |u| u.route_priority.to_string()),
            turn_ms.map_or_else(unknown, |ms| ms.to_string())
        );
    }

    fn try_admit(
        &self,
        terms: &AccountTerms,
        cost: f64,
        start_share: f64,
    ) -> Result<(), QuotaWait> {
        let mut quotas = self.quotas.lock();
        let admitted = quotas.admit(terms, cost, start_share, self.steady_ms());
        if quotas.should_announce(terms) {
            self.announce_early.notify_one();
        }
        admitted
    }

    /// Tries to admit a request by its priority. `is_repeat` states that it was tried before.
    fn try_admit_in_order(
        &self,
        terms: &AccountTerms,
        request: &OrderedRequest,
        is_repeat: bool,
        start_share: f64,
    ) -> Result<(), OrderRefusal> {
        let now_ms = self.steady_ms();
        let mut quotas = self.quotas.lock();
        let before = quotas.turn_counts(terms);
        let admitted = quotas.admit_in_order(terms, request, is_repeat, start_share, now_ms);
        record_turns(before, quotas.turn_counts(terms));
        if quotas.should_announce(terms) {
            self.announce_early.notify_one();
        }
        admitted
    }
}

fn ordered_request(urgency: RequestUrgency, cost: f64) -> OrderedRequest {
    OrderedRequest {
        priority: urgency.route_priority,
        cost,
        fingerprint: urgency.fingerprint,
        target_left_ms: urgency.target_left_ms,
        time_left_ms: urgency.time_left_ms,
    }
}

/// Adds the outcomes of turns that were counted between `before` and `after` to the metrics.
fn record_turns(before: TurnCounts, after: TurnCounts) {
    let outcomes = [
        ("given", after.given - before.given),
        ("kept", after.kept - before.kept),
        ("missed", after.missed - before.missed),
        ("early", after.early - before.early),
        ("lapsed", after.lapsed - before.lapsed),
    ];
    for (outcome, count) in outcomes.into_iter().filter(|(_, count)| *count > 0) {
        metrics::counter!(QUOTA_TURNS, "outcome" => outcome).increment(count);
    }
}
