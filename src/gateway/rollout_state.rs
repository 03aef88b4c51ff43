use {
    super::{Gateway, PlacementRequest, ROLLOUT_ANSWERS, RequestContext},
    crate::{
        names::{SourceEra, UpstreamVersion},
        policy::name_hash,
        rollouts::{AllowedVersions, Rollout, RolloutOrder},
        routing::Route,
        upstreams::{ReadyUpstreams, Upstream},
    },
};

/// Mixed into a route's hash, so that its total response times are counted apart from its
/// times to the first event.
const TOTAL_TIMES_MARK: u32 = 0x5bd1_e995;

/// Rollouts as a daemon knows them: which versions may get a request, and the outcomes of
/// their requests.
impl Gateway {
    /// Applies an operator's order that was read from the source in one of its eras.
    pub fn apply_order_of_era(&self, order: RolloutOrder, era: SourceEra) {
        let number = self.order_numbers.lock().number(&order, era);
        if let Some(offset) = number {
            self.apply_rollout_order(&RolloutOrder { offset, ..order });
        }
    }

    /// Applies an operator's order.
    pub fn apply_rollout_order(&self, order: &RolloutOrder) {
        self.apply_rollouts(&[Rollout::ordered(order)]);
    }

    /// Applies rollouts that another daemon announced.
    pub fn apply_rollouts(&self, announced: &[Rollout]) {
        let now_ms = self.steady_ms();
        for rollout in announced {
            if self.rollouts.lock().apply(rollout, now_ms) {
                log::info!(
                    target: "rollout",
                    "update applied. service={} target={} state={} share={} order={} fence={} step={}",
                    rollout.service,
                    rollout.target,
                    rollout.state.as_str(),
                    rollout.share,
                    rollout.order,
                    rollout.fence,
                    rollout.step
                );
                self.announce_early.notify_one();
                self.changes.send_modify(|n| *n += 1);
            }
        }
    }

    /// Returns the rollouts to announce to other daemons.
    pub fn announced_rollouts(&self) -> Vec<Rollout> {
        self.rollouts.lock().rollouts_to_announce(self.steady_ms())
    }

    /// Returns for each ready upstream whether a rollout excludes it for a request, or `None`
    /// if the request may be sent to any.
    pub(super) fn excluded_by_rollout(
        &self,
        request: &PlacementRequest,
        ready: &ReadyUpstreams,
    ) -> Option<Vec<bool>> {
        let service = request.service.as_str();
        let mut rollouts = self.rollouts.lock();
        let target = rollouts.get(service)?.target.clone();
        let is_target = |upstream: &Upstream| upstream.version.as_str() == target;
        let mut tried = request.tried.iter().filter_map(|id| ready.index_of(id));
        let failed_at_target = tried.any(|index| is_target(&ready.upstreams[index]));
        let allowed = rollouts.allow(service, failed_at_target, self.steady_ms());
        drop(rollouts);
        let has = |wanted: bool| ready.upstreams.iter().any(|u| is_target(u) == wanted);
        let wants_target = match allowed {
            AllowedVersions::Any => return None,
            AllowedVersions::Target => has(true),
            AllowedVersions::Others => !has(false),
            AllowedVersions::OnlyOthers => false,
        };
        let upstreams = ready.upstreams.iter();
        Some(upstreams.map(|u| is_target(u) != wants_target).collect())
    }

    /// Returns for each ready upstream whether it may not continue a stream that a version began. A
    /// version that was rolled back gets no more requests, not even those.
    pub(super) fn excluded_by_version(
        &self,
        version: &UpstreamVersion,
        ready: &ReadyUpstreams,
    ) -> Vec<bool> {
        let is_rolled_back = |upstream: &Upstream| {
            let rollouts = self.rollouts.lock();
            rollouts.is_rolled_back(upstream.service.as_str(), version.as_str())
        };
        let is_refused = ready.upstreams.first().is_some_and(|u| is_rolled_back(u));
        let upstreams = ready.upstreams.iter();
        upstreams
            .map(|u| is_refused || u.version != *version)
            .collect()
    }

    /// Records an answer for a rollout. `time_ms` is the time to its head or first event, or
    /// `None` if the request failed.
    pub(super) fn record_answer(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        time_ms: Option<f64>,
    ) {
        let route = name_hash(&context.route.name) as u32;
        self.record_version(upstream, route, time_ms);
    }

    /// Records for a rollout that a request of a route failed at an upstream.
    pub(super) fn record_failed_answer(&self, route: &Route, upstream: &Upstream) {
        self.record_version(upstream, name_hash(&route.name) as u32, None);
    }

    /// Records the total time of a stream for a rollout.
    pub(super) fn record_complete(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        time_ms: f64,
    ) {
        let route = name_hash(&context.route.name) as u32 ^ TOTAL_TIMES_MARK;
        self.record_version(upstream, route, Some(time_ms));
    }

    fn record_version(&self, upstream: &Upstream, route: u32, time_ms: Option<f64>) {
        let service = upstream.service.as_str();
        let (order, is_target) = {
            let rollouts = self.rollouts.lock();
            match rollouts.get(service) {
                Some(r) => (r.order, r.target == upstream.version.as_str()),
                None => (0, false),
            }
        };
        if order > 0 {
            let labels = [
                ("service", service.to_string()),
                ("version", upstream.version.to_string()),
                ("failed", time_ms.is_none().to_string()),
            ];
            metrics::counter!(ROLLOUT_ANSWERS, &labels).increment(1);
        }
        let mut outcomes = self.outcomes.lock();
        let meter = outcomes.entry(upstream.service.clone()).or_default();
        meter.for_order(order).record(route, is_target, time_ms);
    }

    /// Returns the number of slots of a service's ready upstreams of the given version, and of
    /// those of other versions.
    pub fn version_slots(&self, service: &str, version: &str) -> (u32, u32) {
        let directory = self.directory.read();
        let service = service.into();
        let slots = |is_target: bool| -> u32 {
            let ready = directory.ready(&service);
            let of_version = ready.filter(|u| (u.version.as_str() == version) == is_target);
            of_version.fold(0, |sum, u| sum.saturating_add(u.slots))
        };
        (slots(true), slots(false))
    }

    /// Returns the number of known requests of all daemons at a service's upstreams of other
    /// versions than the given one.
    pub fn active_at_other_versions(&self, service: &str, version: &str) -> u32 {
        let loads = self.all_loads();
        let directory = self.directory.read();
        let others = directory
            .all()
            .filter(|u| u.service.as_str() == service && u.version.as_str() != version);
        let busy = others.filter_map(|u| loads.get(&u.id));
        busy.map(|(active, _)| *active).sum()
    }
}
