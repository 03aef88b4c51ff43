use {
    super::{Placement, *},
    crate::{
        cluster::{HubDecision, PlacementQuery, QuotaQuery, ReceivedDecision},
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::*,
        routing::AccountTerms,
        upstreams::*,
    },
    std::time::Duration,
};

/// How many upstreams that a daemon can't reach, or that want nothing from it, it names to
/// a hub.
const MAX_AVOIDED: usize = 8;
/// When a request may come back that no hub answered for, and that its daemon
/// can't let in by itself.
const ALONE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What has to be known of a request to place it.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// The service.
    pub service: ServiceName,
    /// Within how long an answer is wanted, in milliseconds.
    pub target_ms: f64,
    /// Its prompt.
    pub prompt: Prompt,
    /// Upstreams that were tried: not again.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that its daemon can't reach now.
    pub avoided: Vec<UpstreamId>,
    /// Upstreams that want nothing from its daemon now: none of them, whatever else there
    /// is.
    pub in_cooldown: Vec<UpstreamId>,
    /// The failure domain of its daemon.
    pub domain: FailureDomain,
    /// By what it is placed in place of its prompt, so that it runs apart from others.
    pub isolation_key: Option<u64>,
}

/// Where requests are sent, and what is learned from how they fare.
impl Gateway {
    /// Lets a request in that costs a client account some units, and finds its
    /// first place with the same question where a hub is asked.
    ///
    /// # Errors
    ///
    /// Returns after how long it would be let in.
    pub async fn let_in(
        &self,
        context: &RequestContext,
        account: Option<&AccountTerms>,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let cost = account.map_or(0.0, |a| a.cost(context.prompt.tokens()));
        if self.is_hub() {
            return match account {
                Some(account) => self.admit(account, cost, max_wait).await,
                None => Ok(()),
            };
        }
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
        let place = self.asked_place(context, &[]);
        let request = context.id_text();
        let heard = self.hub_client.query(self, request, quota, place).await;
        match heard.as_ref().map(|heard| &heard.decision) {
            Some(HubDecision::Refused { wait_ms }) => Err(Duration::from_millis(*wait_ms)),
            Some(HubDecision::Unknown | HubDecision::Held) | None => match limited {
                Some(account) => self.admit_standalone(account, cost),
                None => Ok(()),
            },
            Some(HubDecision::Placed { .. } | HubDecision::NoUpstream) => {
                if let Some(account) = limited {
                    self.standalone_quotas.lock().record_decided(&account.name);
                }
                *context.placed.lock() = heard.and_then(|h| self.asked_placement(&h, false));
                Ok(())
            }
        }
    }

    fn admit_standalone(&self, account: &AccountTerms, cost: f64) -> Result<(), Duration> {
        let now_ms = self.steady_ms();
        let limit = self.quotas.lock().limit_of(account);
        let told = self.peers.lock().received_quota(&account.name);
        let daemons = self.daemons();
        let mut standalone = self.standalone_quotas.lock();
        match standalone.admit(&account.name, cost, told, daemons, &limit, now_ms) {
            true => Ok(()),
            false => Err(ALONE_RETRY_AFTER),
        }
    }

    fn asked_place(&self, context: &RequestContext, tried: &[UpstreamId]) -> PlacementQuery {
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

    /// Returns the placement that a hub decided on, if its upstream is known and
    /// ready here, too, and takes requests from this daemon.
    fn asked_placement(&self, heard: &ReceivedDecision, is_repeat: bool) -> Option<Placement> {
        let HubDecision::Placed {
            upstream,
            unread_tokens,
            waiting_tokens,
        } = &heard.decision
        else {
            return None;
        };
        let id = UpstreamId::from(upstream.as_str());
        let directory = self.directory.read();
        let upstream = directory.get(&id).filter(|u| !u.draining)?.clone();
        drop(directory);
        if self.is_in_cooldown(&id) {
            return None;
        }
        Some(Placement {
            upstream,
            unread_tokens: *unread_tokens,
            waiting_tokens: *waiting_tokens,
            is_repeat,
            has_permit: heard.has_permit,
        })
    }

    /// Finds where to send a request next: by a hub, or by itself where this
    /// daemon is one or none answers. `tried` upstreams are left out.
    pub async fn place(&self, context: &RequestContext, tried: &[UpstreamId]) -> Option<Placement> {
        if let Some(placement) = context.placed.lock().take() {
            return Some(placement);
        }
        if !self.is_hub() {
            let place = self.asked_place(context, tried);
            let answer = self.hub_client.query(self, context.id_text(), None, place);
            let heard = answer.await;
            let is_repeat = !tried.is_empty();
            let placement = heard.and_then(|h| self.asked_placement(&h, is_repeat));
            if placement.is_some() {
                return placement;
            }
        }
        let request = PlaceRequest {
            service: context.service.clone(),
            target_ms: context.route.target_latency_ms as f64,
            prompt: context.prompt.clone(),
            tried: tried.to_vec(),
            avoided: Vec::new(),
            in_cooldown: self.in_cooldown(),
            domain: self.domain().clone(),
            isolation_key: self.isolation_key_for(context),
        };
        self.choose_permitted(&request, context.id_text()).await
    }

    /// Chooses an upstream by what this daemon knows.
    pub fn choose(&self, request: &PlaceRequest, id: &str) -> Option<Placement> {
        self.choose_after(request, id, 0)
    }

    /// Chooses an upstream after a permit was denied for some.
    pub(super) fn choose_after(
        &self,
        request: &PlaceRequest,
        id: &str,
        denials: usize,
    ) -> Option<Placement> {
        let ready = self.directory.read().ready_list(&request.service);
        let barred = self.barred(request, &ready, denials);
        let home = self.home_of(request, &ready, &barred);
        let mut candidates = self.candidates(request, &ready, home);
        for (candidate, is_barred) in candidates.iter_mut().zip(&barred) {
            candidate.tried |= is_barred;
        }
        let times = self.engine_times(&request.service);
        let mut rng = self.rng.lock();
        let chosen = choose_upstream(&candidates, &times, request.target_ms, &mut *rng);
        drop(rng);
        let is_repeat = !request.tried.is_empty();
        if !is_repeat && denials == 0 {
            // What finds no upstream is demand, too.
            let unread = chosen.map(|index| candidates[index].unread_tokens);
            let all_tokens = request.prompt.tokens();
            self.record_demand(&request.service, unread.or(all_tokens).unwrap_or(0));
        }
        let chosen = chosen?;
        let Candidate {
            unread_tokens,
            waiting_tokens,
            active,
            failure_rate,
            avoided,
            ..
        } = candidates[chosen];
        let upstream = ready.upstreams[chosen].clone();
        log::info!(
            target: "place",
            "placed. request={id} service={} upstream={} of={} home={} unread={unread_tokens} waiting={waiting_tokens} active={active} failure_rate={failure_rate:.2} avoided={avoided} directory={} loads_age_ms={}",
            request.service,
            upstream.id,
            ready.upstreams.len(),
            home == Some(chosen),
            self.directory.read().revision(),
            self.loads_age_ms()
        );
        Some(Placement {
            upstream,
            unread_tokens,
            waiting_tokens,
            is_repeat,
            has_permit: false,
        })
    }

    /// Returns which ready upstreams a request must not go to; nothing, if it may go to any.
    fn barred(&self, request: &PlaceRequest, ready: &ReadyUpstreams, denials: usize) -> Vec<bool> {
        let mut barred = self.excluded_by_rollout(request, ready).unwrap_or_default();
        let limited = self.excluded_by_limits(denials);
        for id in limited.iter().chain(&request.in_cooldown) {
            if let Some(index) = ready.index_of(id) {
                barred.resize(ready.upstreams.len(), false);
                barred[index] = true;
            }
        }
        barred
    }

    /// Returns what is known of each upstream. All are alike but for the few that
    /// something is known of: these are filled in one by one.
    fn candidates(
        &self,
        request: &PlaceRequest,
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
            candidates[home].unread_tokens = own_tokens(&request.prompt);
        }
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

    /// Fills in what upstreams need not read.
    fn fill_in_caches(
        &self,
        candidates: &mut [Candidate],
        ready: &ReadyUpstreams,
        prompt: &Prompt,
        now_ms: u64,
    ) {
        let caches = self.caches.lock();
        let parts = prompt.parts.iter().map(|p| p.chain);
        for (id, count) in caches.kept_parts(parts, now_ms) {
            if let Some(index) = ready.index_of(id) {
                candidates[index].unread_tokens = prompt.unread_tokens(count);
            }
        }
    }

    /// Finds the upstream that all daemons send a chain of parts to, as long
    /// as its load allows; returns its index.
    fn home_of(
        &self,
        request: &PlaceRequest,
        ready: &ReadyUpstreams,
        barred: &[bool],
    ) -> Option<usize> {
        if !self.settings.mechanisms.homes {
            return None;
        }
        let chain = request.isolation_key.or(request.prompt.shared_chain())?;
        let is_tried = |index: &usize| request.tried.contains(&ready.upstreams[*index].id);
        let is_barred = |index: &usize| barred.get(*index).copied().unwrap_or(false);
        let usable = 0..ready.hashes.len();
        let usable = usable.filter(|index| !is_tried(index) && !is_barred(index));
        usable.max_by_key(|index| home_rank(chain, ready.hashes[*index]))
    }
}

fn own_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(0, |part| part.tokens)
}
