//! The distribution of requests over failure domains, by the state of this daemon.

use {
    super::*,
    crate::{
        cluster::RoomsPart,
        names::{FailureDomain, ServiceName},
        policy::*,
        upstreams::ReadyUpstreams,
    },
    rand::Rng,
    std::collections::HashMap,
};

/// How long a daemon has to be a hub before it sends requests to other failure domains and announces
/// room, in milliseconds. By then it has received the loads of the other hubs.
const SETTLE_MS: u64 = 500;

/// The reason for which the candidates of a request are restricted to a failure domain, or are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SpreadReason {
    /// They are not restricted: the least cost over all domains decides.
    Anywhere,
    /// They are restricted to upstreams that have at least as much of the prompt cached as the home.
    Home,
    /// The request stays in the domain of its caller.
    Own,
    /// The domain of its caller can't serve it in time.
    Late,
    /// The domain of its caller has no usable upstream.
    Lost,
}

impl SpreadReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Anywhere => "anywhere",
            Self::Home => "home",
            Self::Own => "own",
            Self::Late => "late",
            Self::Lost => "lost",
        }
    }
}

impl Gateway {
    /// Restricts the candidates of a request to the failure domain that is to serve it, by marking all
    /// others as tried. A request goes to its home if that answers in time, otherwise to its own domain
    /// if that does, otherwise to the domain that the policy draws.
    pub(super) fn restrict_to_domain(
        &self,
        request: &PlacementRequest,
        ready: &ReadyUpstreams,
        candidates: &mut [Candidate],
        home: Option<usize>,
        id: &str,
    ) -> SpreadReason {
        if !self.settings.mechanisms.domain_balance || self.hub_age_ms() < SETTLE_MS {
            return SpreadReason::Anywhere;
        }
        let times = self.engine_times(&request.service);
        let bound_ms = in_time_bound_ms(request.target_ms);
        if let Some(home) = home.map(|index| candidates[index])
            && least_cost_ms(std::iter::once(&home), &times, request.target_ms) <= bound_ms
        {
            keep_only(candidates, |_, c| c.unread_tokens <= home.unread_tokens);
            return SpreadReason::Home;
        }
        let spread = self.spread_request(request, candidates, &times);
        let now_ms = self.steady_ms();
        if self.domain_spread.lock().is_in_time(&spread, now_ms) {
            keep_only(candidates, |_, c| c.same_domain);
            return SpreadReason::Own;
        }
        let offers = self.domain_offers(request, ready, candidates, &times);
        // The number that the choice of the upstream draws next, so that a request for which all
        // domains stay candidates is placed as without the spread.
        let draw = self.rng.lock().clone().random();
        let mut domain_spread = self.domain_spread.lock();
        let decision = domain_spread.decide(&spread, &offers, draw, now_ms);
        drop(domain_spread);
        match decision {
            SpreadDecision::Anywhere => SpreadReason::Anywhere,
            SpreadDecision::Stay => {
                keep_only(candidates, |_, c| c.same_domain);
                SpreadReason::Own
            }
            SpreadDecision::SendTo(sent) => {
                log_sent_away(&spread, &sent, id);
                keep_only(candidates, |i, _| ready.upstreams[i].domain == sent.to);
                match spread.own_ms.is_finite() {
                    true => SpreadReason::Late,
                    false => SpreadReason::Lost,
                }
            }
        }
    }

    /// Describes a request to the policy that decides on its failure domain.
    fn spread_request(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        times: &EngineTimes,
    ) -> SpreadRequest {
        let own = candidates.iter().filter(|c| c.same_domain);
        let slots = candidates.first().map_or(1, |c| c.slots.max(1));
        let prompt_ms = request.prompt.unread_tokens(0) as f64 * times.ms_per_token;
        SpreadRequest {
            service: request.service.clone(),
            domain: request.domain.clone(),
            target_ms: request.target_ms,
            own_ms: least_cost_ms(own, times, request.target_ms),
            work_ms: prompt_ms + times.stay_ms / f64::from(slots),
            prompt_ms,
        }
    }

    /// Returns the other failure domains that this daemon can reach, with the least cost of the request
    /// in each.
    fn domain_offers(
        &self,
        request: &PlacementRequest,
        ready: &ReadyUpstreams,
        candidates: &[Candidate],
        times: &EngineTimes,
    ) -> Vec<DomainOffer> {
        let mut best: HashMap<&FailureDomain, f64> = HashMap::new();
        let candidates = candidates.iter().zip(&ready.upstreams);
        for (candidate, upstream) in candidates.filter(|(c, _)| !c.same_domain) {
            let only = std::iter::once(candidate);
            let cost_ms = least_cost_ms(only, times, request.target_ms);
            let least_ms = best.entry(&upstream.domain).or_insert(f64::INFINITY);
            *least_ms = least_ms.min(cost_ms);
        }
        let now_ms = self.steady_ms();
        let avoided = self.domain_reach.lock().avoided(now_ms);
        let hubs = self.other_hubs().len() + 1;
        let rooms = &self.domain_spread.lock().rooms;
        let within_reach = best
            .into_iter()
            .filter(|(domain, _)| !avoided.contains(domain));
        let offers = within_reach.map(|(domain, best_ms)| {
            let left = rooms.left(domain, &request.service, now_ms);
            DomainOffer {
                domain: domain.clone(),
                best_ms,
                senders: hubs.saturating_sub(left.map_or(0, |l| l.hubs)),
            }
        });
        offers.collect()
    }

    /// Counts the prompt tokens of a request that goes to another failure domain.
    pub(super) fn count_sent_away(&self, reason: SpreadReason, tokens: u64) {
        if self.settings.mechanisms.domain_balance {
            metrics::counter!(DOMAIN_TOKENS, "reason" => reason.as_str()).increment(tokens);
        }
    }

    /// Returns the room in the own failure domain to announce; none while this daemon has not been a hub
    /// for `SETTLE_MS`.
    pub fn rooms_to_announce(&self, interval_ms: u64) -> Option<RoomsPart> {
        if !self.settings.mechanisms.domain_balance || self.hub_age_ms() < SETTLE_MS {
            return None;
        }
        self.domain_spread.lock().tick(self.steady_ms());
        let targets = self.least_targets_ms();
        let rooms = targets.into_iter();
        let rooms: Vec<_> = rooms
            .filter_map(|(service, target_ms)| self.own_room(service, target_ms))
            .collect();
        Some(RoomsPart::of(&RoomFigures {
            hub: self.settings.node.name.as_str().into(),
            domain: self.domain().clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence(),
            interval_ms,
            rooms,
        }))
    }

    /// Returns the smallest target latency of each service's routes, in milliseconds.
    fn least_targets_ms(&self) -> HashMap<ServiceName, f64> {
        let mut targets = HashMap::new();
        let table = self.table();
        let routes = table.iter().flat_map(|table| &table.config().routes);
        for route in routes {
            for weighted in &route.services {
                let target_ms = route.target_latency_ms as f64;
                let least = targets.entry(weighted.service.clone()).or_insert(target_ms);
                *least = least.min(target_ms);
            }
        }
        targets
    }

    /// Returns the room of a service in the own failure domain.
    fn own_room(&self, service: ServiceName, target_ms: f64) -> Option<DomainRoom> {
        let ready = self.directory.read().ready_list(&service);
        let candidates = self.usable_candidates(&service, &ready);
        let own = candidates.iter().filter(|c| c.same_domain);
        let times = self.engine_times(&service);
        DomainRoom::of(service, own, &times, target_ms)
    }

    /// Applies the room that a hub announced for its failure domain.
    pub fn apply_rooms(&self, part: &RoomsPart) {
        // The figures of other hubs of the own domain apply too: a hub also places requests of domains
        // that have no hub.
        let is_own = part.name == self.settings.node.name.as_str();
        if !self.settings.mechanisms.domain_balance || is_own {
            return;
        }
        let (figures, now_ms) = (part.to_figures(), self.steady_ms());
        let domain = figures.domain.clone();
        if self.domain_spread.lock().rooms.apply(figures, now_ms) {
            self.domain_reach.lock().record_heard(&domain);
        }
    }
}

/// Marks all candidates that are not kept as tried.
fn keep_only(candidates: &mut [Candidate], is_kept: impl Fn(usize, &Candidate) -> bool) {
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.tried |= !is_kept(index, candidate);
    }
}

fn log_sent_away(request: &SpreadRequest, sent: &SentAway, id: &str) {
    log::info!(
        target: "place",
        "request sent to another failure domain. request={id} service={} from={} to={} own_ms={:.0} there_ms={:.0} target_ms={:.0} work_ms={:.0} room_ms={:.0} share={:.2} room_age_ms={}",
        request.service,
        request.domain,
        sent.to,
        request.own_ms,
        sent.there_ms,
        request.target_ms,
        request.work_ms,
        sent.room_ms,
        sent.share,
        sent.age_ms
    );
}
