use {
    super::{Placement, *},
    crate::{
        names::{FailureDomain, UpstreamId},
        policy::*,
        upstreams::*,
    },
    std::{collections::HashMap, sync::Arc},
};

/// Where requests are sent, and what is learned from how they fare.
impl Gateway {
    /// Chooses an upstream for a request; `tried` ones come last.
    pub fn place(&self, context: &RequestContext, tried: &[UpstreamId]) -> Option<Placement> {
        let ready: Vec<Arc<Upstream>> = {
            let directory = self.directory.read();
            let ready = directory.ready(&context.service);
            ready.filter(|b| !tried.contains(&b.id)).cloned().collect()
        };
        let home = self.home_of(context, &ready);
        let peer_loads = self.peers.lock().loads();
        let candidates: Vec<Candidate> = ready
            .iter()
            .map(|b| self.candidate(context, b, home.as_ref(), &peer_loads))
            .collect();
        let times = self.engine_times(&context.service);
        let target_ms = context.route.target_latency_ms as f64;
        let mut rng = self.rng.lock();
        let chosen = choose_upstream(&candidates, &times, target_ms, &mut *rng);
        drop(rng);
        if tried.is_empty() {
            // What finds no upstream is demand, too.
            let unread = chosen.map(|index| candidates[index].unread_tokens);
            let all_tokens = context.prompt.tokens();
            self.note_demand(&context.service, unread.or(all_tokens).unwrap_or(0));
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
        log::info!(
            target: "place",
            "placed. request={} service={} upstream={} of={} home={} unread={unread_tokens} waiting={waiting_tokens} active={active} failure_rate={failure_rate:.2} avoided={avoided} directory={}",
            context.id_text(),
            context.service,
            ready[chosen].id,
            ready.len(),
            home.as_ref() == Some(&ready[chosen].id),
            self.directory.read().revision()
        );
        Some(Placement {
            upstream: ready[chosen].clone(),
            unread_tokens,
            waiting_tokens,
            is_repeat: !tried.is_empty(),
        })
    }

    fn candidate(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        home: Option<&UpstreamId>,
        peer_loads: &HashMap<UpstreamId, (u32, u64)>,
    ) -> Candidate {
        let now_ms = self.steady_ms();
        let is_home = home == Some(&upstream.id);
        let unread_tokens = match is_home {
            true => own_tokens(context),
            false => self.unread_tokens(context, upstream),
        };
        let (peer_active, peer_tokens) = peer_loads.get(&upstream.id).copied().unwrap_or_default();
        let loads = self.loads.lock();
        let load = loads.get(&upstream.id).cloned().unwrap_or_default();
        Candidate {
            avoided: load.is_avoided(now_ms) || self.is_out_of_reach(&upstream.zone),
            waiting_tokens: load.waiting_tokens + peer_tokens,
            unread_tokens,
            active: load.active + peer_active,
            slots: upstream.slots,
            failure_rate: load.failure_rate(now_ms),
            same_zone: upstream.zone == self.settings.node.zone,
        }
    }

    /// Finds the upstream that all daemons send a chain of parts to, as long
    /// as its load allows.
    fn home_of(&self, context: &RequestContext, ready: &[Arc<Upstream>]) -> Option<UpstreamId> {
        if !self.settings.mechanisms.homes {
            return None;
        }
        let chain = context.prompt.shared_chain()?;
        let home = ready.iter().max_by_key(|b| home_rank(chain, b.id.as_str()));
        home.map(|b| b.id.clone())
    }

    /// Returns how many prompt tokens an upstream would have to read.
    fn unread_tokens(&self, context: &RequestContext, upstream: &Upstream) -> u64 {
        let now_ms = self.steady_ms();
        let caches = self.caches.lock();
        let is_kept = |part: &PromptPart| caches.is_kept(&upstream.id, part.chain, now_ms);
        context.prompt.unread_tokens(is_kept)
    }

    /// Notes that an upstream reads a request's prompt.
    pub fn note_cached(&self, context: &RequestContext, upstream: &Upstream) {
        let parts = context.prompt.parts.iter().map(|p| p.chain);
        let now_ms = self.steady_ms();
        self.caches.lock().note(&upstream.id, parts, now_ms);
    }

    /// Notes whether a connection to an upstream came up.
    pub fn note_reach(&self, upstream: &Upstream, reached: bool) {
        let now_ms = self.steady_ms();
        if reached {
            return self.zone_reach.lock().note_reached(&upstream.zone);
        }
        self.loads
            .lock()
            .entry(&upstream.id)
            .note_unreachable(now_ms);
        self.zone_reach
            .lock()
            .note_unreachable(&upstream.zone, &upstream.id, now_ms);
    }

    /// Returns whether another zone is cut off from this daemon.
    fn is_out_of_reach(&self, zone: &FailureDomain) -> bool {
        zone != self.zone() && self.zone_reach.lock().is_avoided(zone, self.steady_ms())
    }

    /// Notes how a request ended at an upstream.
    pub fn note_outcome(&self, upstream: &UpstreamId, failed: bool) {
        let now_ms = self.steady_ms();
        self.loads
            .lock()
            .entry(upstream)
            .note_outcome(failed, now_ms);
    }

    /// Notes that a send failed.
    pub fn note_send_failure(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        failure: &SendFailure,
    ) {
        metrics::counter!(FAILED_SENDS, "run" => failure.kind()).increment(1);
        if !matches!(failure, SendFailure::NotSent(_)) {
            self.note_outcome(&upstream.id, true);
        }
        log::warn!(
            target: "send",
            "failed. request={} upstream={} zone={} cause=\"{failure}\"",
            context.id_text(),
            upstream.id,
            upstream.zone
        );
    }
}

fn own_tokens(context: &RequestContext) -> u64 {
    let parts = &context.prompt.parts;
    parts.last().map_or(0, |part| part.tokens)
}
