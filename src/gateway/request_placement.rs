use {
    super::{Placement, *},
    crate::{
        cluster::{HubDecision, PlacementQuery, QuotaQuery, ReceivedDecision, RequestUrgency},
        names::{FailureDomain, ServiceName, UpstreamId, UpstreamVersion},
        policy::*,
        routing::AccountTerms,
        upstreams::*,
    },
    std::{collections::HashMap, time::Duration},
};

/// Maximum number of upstreams that a query to a hub names as unreachable from this daemon or
/// in cooldown for it.
const MAX_AVOIDED: usize = 8;
/// `Retry-After` of a request that the daemon can't admit by its standalone quota while no hub
/// answers.
const STANDALONE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The properties of a request by which it is placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service that runs the request.
    pub service: ServiceName,
    /// Target latency, in milliseconds.
    pub target_ms: f64,
    /// Prompt and output sizes, and the parts of the prompt.
    pub prompt: Prompt,
    /// Upstreams that were already tried and are excluded.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that the daemon of the request can't reach now. They are avoided as long as
    /// there are others.
    pub avoided: Vec<UpstreamId>,
    /// Upstreams in cooldown for the daemon of the request. They are excluded, even if no
    /// other upstream is left.
    pub in_cooldown: Vec<UpstreamId>,
    /// The failure domain of the daemon of the request.
    pub domain: FailureDomain,
    /// The key that selects the home upstream in place of the prompt, so that a suspected
    /// request runs apart from others.
    pub isolation_key: Option<u64>,
    /// The urgency of the request; none if the daemon of the request states none.
    pub urgency: Option<RequestUrgency>,
    /// The software version that began the stream which the request continues. Upstreams of other
    /// versions are excluded.
    pub version: Option<UpstreamVersion>,
    /// The request is already recorded as demand.
    pub is_counted: bool,
}

/// Admits requests and chooses their upstreams.
impl Gateway {
    /// Admits a request at the cost of some quota units. A daemon that is not a hub gets the
    /// first placement with the same query to a hub.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused, and when to repeat it.
    pub async fn admit_and_place(
        &self,
        context: &RequestContext,
        account: Option<&AccountTerms>,
        max_wait: Duration,
    ) -> Result<(), Refusal> {
        let cost = account.map_or(0.0, |a| a.cost(context.prompt.tokens()));
        match self.is_hub() {
            true => self.admit_as_hub(context, account, cost, max_wait).await,
            false => self.admit_at_hub(context, account, cost, max_wait).await,
        }
    }

    /// Admits a request of this daemon, which is a hub. Returns the quota units if there is no room.
    async fn admit_as_hub(
        &self,
        context: &RequestContext,
        account: Option<&AccountTerms>,
        cost: f64,
        max_wait: Duration,
    ) -> Result<(), Refusal> {
        let urgency = Some(context.urgency());
        if let Some(account) = account {
            let admitted = self.admit(account, cost, urgency, max_wait).await;
            admitted.map_err(|retry_after| Refusal::Quota { retry_after })?;
        }
        let placed = self.place_with_room(context).await;
        if let (Some(account), Err(_)) = (account, &placed) {
            self.give_back(account, cost, urgency);
        }
        placed
    }

    /// Admits a request of this daemon by a query to a hub, or by itself if no hub decides.
    async fn admit_at_hub(
        &self,
        context: &RequestContext,
        account: Option<&AccountTerms>,
        cost: f64,
        max_wait: Duration,
    ) -> Result<(), Refusal> {
        let limited = account.filter(|a| a.rate_per_s > 0.0);
        if let Some(account) = limited {
            let now_ms = self.steady_ms();
            let mut standalone = self.standalone_quotas.lock();
            standalone.record_demand(&account.name, cost, now_ms);
        }
        let quota = limited.map(|account| QuotaQuery {
            account: account.name.to_string(),
            cost,
            max_wait_ms: max_wait.as_millis() as u32,
        });
        let placement = self.placement_query(context, &[]);
        let request = context.id_text();
        let urgency = context.urgency();
        let version = context.stream_version.get().cloned();
        let answer = self
            .hub_client
            .query(self, request, quota, placement, urgency, version);
        let received = answer.await;
        match received.as_ref().map(|received| &received.decision) {
            Some(HubDecision::Refused { wait_ms }) => Err(Refusal::Quota {
                retry_after: Duration::from_millis(*wait_ms),
            }),
            Some(HubDecision::NoRoom { wait_ms }) => Err(Refusal::NoRoom {
                retry_after: Duration::from_millis(*wait_ms),
            }),
            Some(HubDecision::Unknown | HubDecision::Held) | None => match limited {
                Some(account) => self.admit_standalone(account, cost),
                None => Ok(()),
            },
            Some(HubDecision::Placed { .. } | HubDecision::NoUpstream) => {
                if let Some(account) = limited {
                    self.standalone_quotas.lock().record_decided(&account.name);
                }
                *context.first_placement.lock() =
                    received.and_then(|h| self.placement_from(context, &h, false));
                Ok(())
            }
        }
    }

    /// Waits until upstreams have room for a request of this hub, and places it if it had to wait.
    async fn place_with_room(&self, context: &RequestContext) -> Result<(), Refusal> {
        if !self.settings.mechanisms.room_queue {
            return Ok(());
        }
        let mut request = self.placement_request(context, &[]);
        let account = context.account.as_ref().map(|a| a.as_str());
        let waited = self.wait_for_room(&request, account, context.id_text());
        let waited = waited.await;
        let place = waited.map_err(|retry_after| Refusal::NoRoom { retry_after })?;
        if place.is_some() {
            request.is_counted = true;
            let placement = self.choose_permitted(&request, context.id_text()).await;
            *context.first_placement.lock() = placement;
        }
        Ok(())
    }

    fn placement_request(
        &self,
        context: &RequestContext,
        tried: &[UpstreamId],
    ) -> PlacementRequest {
        PlacementRequest {
            service: context.service.clone(),
            target_ms: context.route.target_latency_ms as f64,
            prompt: context.prompt.clone(),
            tried: tried.to_vec(),
            avoided: Vec::new(),
            in_cooldown: self.in_cooldown(),
            domain: self.domain().clone(),
            isolation_key: self.isolation_key_for(context),
            urgency: Some(context.urgency()),
            version: context.stream_version.get().cloned(),
            is_counted: false,
        }
    }

    fn admit_standalone(&self, account: &AccountTerms, cost: f64) -> Result<(), Refusal> {
        let now_ms = self.steady_ms();
        let limit = self.quotas.lock().limit_of(account);
        let hub_quota = self.peers.lock().received_quota(&account.name);
        let daemons = self.daemons();
        let mut standalone = self.standalone_quotas.lock();
        match standalone.admit(&account.name, cost, hub_quota, daemons, &limit, now_ms) {
            true => Ok(()),
            false => Err(Refusal::Quota {
                retry_after: STANDALONE_RETRY_AFTER,
            }),
        }
    }

    fn placement_query(&self, context: &RequestContext, tried: &[UpstreamId]) -> PlacementQuery {
        let now_ms = self.steady_ms();
        let in_cooldown = self.in_cooldown().into_iter();
        let loads = self.loads.lock();
        let out_of_reach = loads.iter().filter(|(_, load)| load.is_avoided(now_ms));
        let avoided = in_cooldown.chain(out_of_reach.map(|(id, _)| id.clone()));
        let avoided = avoided.take(MAX_AVOIDED).map(|id| id.to_string());
        let avoided = avoided.collect();
        drop(loads);
        let parts = context.prompt.parts.iter();
        PlacementQuery {
            service: context.service.to_string(),
            target_ms: context.route.target_latency_ms,
            tokens_in: context.prompt.tokens_in,
            tokens_out: context.prompt.tokens_out,
            parts: parts.map(|p| (p.chain, p.tokens)).collect(),
            tried: tried.iter().map(ToString::to_string).collect(),
            avoided,
            isolation_key: self.isolation_key_for(context),
        }
    }

    /// Returns the placement of a hub's decision, if its upstream is also known and ready
    /// here, not in cooldown for this daemon, and may continue the request's stream.
    fn placement_from(
        &self,
        context: &RequestContext,
        received: &ReceivedDecision,
        is_retry: bool,
    ) -> Option<Placement> {
        let HubDecision::Placed {
            upstream,
            unread_tokens,
            waiting_tokens,
        } = &received.decision
        else {
            return None;
        };
        let id = UpstreamId::from(upstream.as_str());
        let directory = self.directory.read();
        let upstream = directory.get(&id).filter(|u| !u.draining)?.clone();
        drop(directory);
        if self.is_in_cooldown(&id) || !context.may_run_at(&upstream) {
            return None;
        }
        Some(Placement {
            upstream,
            unread_tokens: *unread_tokens,
            waiting_tokens: *waiting_tokens,
            is_retry,
            has_permit: received.has_permit,
        })
    }

    /// Finds the upstream for the next attempt. A hub decides; this daemon decides itself if
    /// it is a hub or no hub answers. Upstreams in `tried` are left out.
    pub async fn place(&self, context: &RequestContext, tried: &[UpstreamId]) -> Option<Placement> {
        if let Some(placement) = context.first_placement.lock().take() {
            return Some(placement);
        }
        if !self.is_hub() {
            let placement = self.placement_query(context, tried);
            let request = context.id_text();
            let urgency = context.urgency();
            let version = context.stream_version.get().cloned();
            let answer = self
                .hub_client
                .query(self, request, None, placement, urgency, version);
            let received = answer.await;
            let is_retry = !tried.is_empty();
            if let Some(HubDecision::NoRoom { .. }) = received.as_ref().map(|r| &r.decision) {
                return None;
            }
            let placement = received.and_then(|h| self.placement_from(context, &h, is_retry));
            if placement.is_some() {
                return placement;
            }
        }
        let request = self.placement_request(context, tried);
        self.choose_permitted(&request, context.id_text()).await
    }

    /// Returns whether a service has a ready upstream for which `is_wanted` holds, and that is not in
    /// cooldown for this daemon.
    pub(super) fn has_ready_upstream(
        &self,
        service: &ServiceName,
        is_wanted: impl Fn(&Upstream) -> bool,
    ) -> bool {
        let in_cooldown = self.in_cooldown();
        let directory = self.directory.read();
        let mut ready = directory.ready(service);
        ready.any(|u| is_wanted(u) && !in_cooldown.contains(&u.id))
    }

    /// Chooses an upstream by the state that this daemon knows.
    pub fn choose(&self, request: &PlacementRequest, id: &str) -> Option<Placement> {
        self.choose_after(request, id, 0)
    }

    /// Chooses an upstream after permits for this request were denied `denials` times.
    pub(super) fn choose_after(
        &self,
        request: &PlacementRequest,
        id: &str,
        denials: usize,
    ) -> Option<Placement> {
        let ready = self.directory.read().ready_list(&request.service);
        let excluded = self.excluded(request, &ready, denials);
        let factors = self.time_factors(&ready);
        let home = self.home_of(request, &ready, &factors, &excluded);
        let mut candidates = self.candidates(request, &ready, home);
        for (candidate, is_excluded) in candidates.iter_mut().zip(&excluded) {
            candidate.tried |= is_excluded;
        }
        for (index, factor) in &factors {
            candidates[*index].time_factor = *factor;
        }
        let reason = self.restrict_to_domain(request, &ready, &mut candidates, home, id);
        let times = self.engine_times(&request.service);
        let mut rng = self.rng.lock();
        let chosen = choose_upstream(&candidates, &times, request.target_ms, &mut *rng);
        drop(rng);
        if denials == 0 {
            self.record_demand_of(request, chosen.map(|index| &candidates[index]));
        }
        let chosen = chosen?;
        let candidate = &candidates[chosen];
        if !candidate.same_domain {
            self.count_sent_away(reason, request.prompt.unread_tokens(0));
        }
        if candidate.memory.excess() > 0 {
            metrics::counter!(PLACED_OVER_MEMORY).increment(1);
        }
        let upstream = ready.upstreams[chosen].clone();
        let is_home = home == Some(chosen);
        self.log_placed(id, &upstream, candidate, ready.upstreams.len(), is_home);
        Some(Placement {
            upstream,
            unread_tokens: candidate.unread_tokens,
            waiting_tokens: candidate.waiting_tokens,
            is_retry: !request.tried.is_empty(),
            has_permit: false,
        })
    }

    fn log_placed(
        &self,
        id: &str,
        upstream: &Upstream,
        candidate: &Candidate,
        ready: usize,
        is_home: bool,
    ) {
        log::info!(
            target: "place",
            "request placed. request={id} service={} upstream={} version={} of={ready} home={is_home} unread={} waiting={} active={} failure_rate={:.2} factor={:.2} held={} excess={} avoided={} directory={} loads_age_ms={}",
            upstream.service,
            upstream.id,
            upstream.version,
            candidate.unread_tokens,
            candidate.waiting_tokens,
            candidate.active,
            candidate.failure_rate,
            candidate.time_factor,
            candidate.memory.held,
            candidate.memory.excess(),
            candidate.avoided,
            self.directory.read().revision(),
            self.loads_age_ms()
        );
    }

    /// Returns for each ready upstream whether it is excluded. The list is empty if none is.
    fn excluded(
        &self,
        request: &PlacementRequest,
        ready: &ReadyUpstreams,
        denials: usize,
    ) -> Vec<bool> {
        let by_version = match &request.version {
            Some(version) => Some(self.excluded_by_version(version, ready)),
            None => self.excluded_by_rollout(request, ready),
        };
        let mut excluded = by_version.unwrap_or_default();
        let limited = self.excluded_by_limits(denials);
        for id in limited.iter().chain(&request.in_cooldown) {
            if let Some(index) = ready.index_of(id) {
                excluded.resize(ready.upstreams.len(), false);
                excluded[index] = true;
            }
        }
        excluded
    }

    /// Records a request as demand, unless it already is or was sent before. One for which no upstream
    /// was chosen counts with its complete prompt.
    fn record_demand_of(&self, request: &PlacementRequest, chosen: Option<&Candidate>) {
        if request.is_counted || !request.tried.is_empty() {
            return;
        }
        let all_tokens = request.prompt.tokens();
        let unread_tokens = chosen.map(|candidate| candidate.unread_tokens);
        self.record_demand(&request.service, unread_tokens.or(all_tokens).unwrap_or(0));
    }

    /// Builds the list of candidates. All start with the same values; loads, failures and cache
    /// contents are then filled in for the few upstreams that have any.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest,
        ready: &ReadyUpstreams,
        home: Option<usize>,
    ) -> Vec<Candidate> {
        let now_ms = self.steady_ms();
        let unread_tokens = request.prompt.unread_tokens(0);
        let out_of_reach = self.domain_reach.lock().avoided(now_ms);
        let upstreams = ready.upstreams.iter();
        let mut candidates: Vec<Candidate> = upstreams
            .map(|u| {
                let same_domain = u.domain == request.domain;
                Candidate {
                    tried: false,
                    avoided: !same_domain && out_of_reach.contains(&u.domain),
                    waiting_tokens: 0,
                    unread_tokens,
                    active: 0,
                    slots: u.slots,
                    failure_rate: 0.0,
                    same_domain,
                    time_factor: 1.0,
                    memory: MemoryUse::default(),
                }
            })
            .collect();
        for index in request.tried.iter().filter_map(|id| ready.index_of(id)) {
            candidates[index].tried = true;
        }
        let in_cooldown = self.upstreams_in_cooldown_for_many();
        let avoided = request.avoided.iter().chain(&in_cooldown);
        for index in avoided.filter_map(|id| ready.index_of(id)) {
            candidates[index].avoided = true;
        }
        self.fill_in_loads(&mut candidates, ready, now_ms);
        self.fill_in_caches(&mut candidates, ready, &request.prompt, now_ms);
        if let Some(home) = home {
            candidates[home].unread_tokens = unshared_tokens(&request.prompt);
        }
        self.fill_in_memory(&mut candidates, ready, request);
        candidates
    }

    fn fill_in_loads(&self, candidates: &mut [Candidate], ready: &ReadyUpstreams, now_ms: u64) {
        for (id, load) in self.loads.lock().iter() {
            if let Some(index) = ready.index_of(id) {
                let candidate = &mut candidates[index];
                candidate.avoided |= load.is_avoided(now_ms);
                candidate.failure_rate = load.failure_rate(now_ms);
                candidate.active += load.active;
                candidate.waiting_tokens += load.waiting_tokens;
            }
        }
        let mut add = |id: &UpstreamId, active, waiting_tokens| {
            if let Some(index) = ready.index_of(id) {
                candidates[index].active += active;
                candidates[index].waiting_tokens += waiting_tokens;
            }
        };
        self.members.lock().each_load(&mut add);
        self.peers.lock().each_load(&mut add);
    }

    /// Fills in the prompt tokens that upstreams need not prefill.
    fn fill_in_caches(
        &self,
        candidates: &mut [Candidate],
        ready: &ReadyUpstreams,
        prompt: &Prompt,
        now_ms: u64,
    ) {
        let caches = self.caches.lock();
        let parts = prompt.parts.iter().map(|p| p.chain);
        for (id, count) in caches.likely_cached_parts(parts, now_ms) {
            if let Some(index) = ready.index_of(id) {
                candidates[index].unread_tokens = prompt.unread_tokens(count);
            }
        }
    }

    /// Returns the index of the home upstream, which all daemons choose for a chain of prompt
    /// parts as long as its load allows.
    fn home_of(
        &self,
        request: &PlacementRequest,
        ready: &ReadyUpstreams,
        factors: &HashMap<usize, f64>,
        excluded: &[bool],
    ) -> Option<usize> {
        if !self.settings.mechanisms.homes {
            return None;
        }
        let chain = request.isolation_key.or(request.prompt.shared_chain())?;
        let is_tried = |index: &usize| request.tried.contains(&ready.upstreams[*index].id);
        let is_excluded = |index: &usize| excluded.get(*index).copied().unwrap_or(false);
        let usable = 0..ready.hashes.len();
        let usable = usable.filter(|index| !is_tried(index) && !is_excluded(index));
        let factor = |index| factors.get(&index).copied().unwrap_or(1.0);
        let hashed = usable.map(|index| (index, ready.hashes[index], factor(index)));
        choose_home(chain, hashed)
    }
}

pub(super) fn unshared_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(0, |part| part.tokens)
}
