use {
    super::{Gateway, Placement, RequestContext},
    crate::{clock::BootInstant, names::UpstreamId, policy::*, upstreams::*},
    std::time::Duration,
};

/// Part of the target latency for which a request waits while no upstream has room for it. Beyond that,
/// its client is better told to come back.
const MAX_ROOM_WAIT: f64 = 0.25;
/// Number of upstreams without room after which the request waits instead of trying others.
const MAX_FULL: usize = 8;
/// Interval at which upstreams without room are tried again.
const ROOM_POLL: Duration = Duration::from_millis(10);

/// The attempts to send one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams that the request was sent to, and upstreams that could not be reached.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that had no room for the request. They may have some later.
    full: Vec<UpstreamId>,
    /// Number of upstreams that the request reached and that were its intended receivers.
    pub sends: u32,
    /// Number of servers that the request reached, including those at a reused address.
    pub arrivals: u32,
    /// The request may have run on some upstream.
    pub may_have_run: bool,
    /// Failure of the last attempt.
    pub last_failure: Option<SendFailure>,
}

impl Attempts {
    /// Chooses the upstream of the next attempt. If all that are left have no room, waits for a while.
    pub async fn place(
        &mut self,
        gateway: &Gateway,
        context: &RequestContext,
    ) -> Option<Placement> {
        let give_up_at = context.started + context.target_latency().mul_f64(MAX_ROOM_WAIT);
        loop {
            let excluded = [self.tried.as_slice(), &self.full].concat();
            let placement = match self.full.len() < MAX_FULL {
                true => gateway.place(context, &excluded).await,
                false => None,
            };
            let may_wait = !self.full.is_empty() && BootInstant::now() < give_up_at;
            if placement.is_some() || !may_wait {
                let is_retry = !self.tried.is_empty();
                return placement.map(|p| Placement { is_retry, ..p });
            }
            tokio::time::sleep(ROOM_POLL).await;
            self.full.clear();
        }
    }

    /// Records a failed attempt and returns whether the request may be sent to another upstream.
    pub fn may_retry_after(
        &mut self,
        gateway: &Gateway,
        context: &RequestContext,
        upstream: &UpstreamId,
        failure: SendFailure,
    ) -> bool {
        if failure == SendFailure::NoSlot {
            self.full.push(upstream.clone());
            self.last_failure = Some(failure);
            return self.situation(context).allows_another();
        }
        self.tried.push(upstream.clone());
        match &failure {
            SendFailure::NotSent(_) | SendFailure::NoSlot => {}
            // The receiver has taken over an old address; it is not one of the service's upstreams.
            SendFailure::Misdirected => self.arrivals += 1,
            SendFailure::Refused(_)
            | SendFailure::MayHaveRun(_)
            | SendFailure::InvalidStream(_)
            | SendFailure::Stalled
            | SendFailure::CutOff(_) => {
                self.arrivals += 1;
                self.sends += 1;
            }
        }
        self.may_have_run |= !failure.is_not_run();
        let situation = self.situation(context);
        let needs_retry_budget = self.arrivals > 0 && failure != SendFailure::Stalled;
        self.last_failure = Some(failure);
        situation.allows_another()
            && !gateway.is_cut_off()
            && !gateway.is_held(context)
            && (!needs_retry_budget || gateway.spend_retry(context))
    }

    /// Returns whether a request that runs at `upstream` may continue at another one. Does not check
    /// the retry budget.
    pub fn may_move(
        &self,
        gateway: &Gateway,
        context: &RequestContext,
        upstream: &UpstreamId,
    ) -> bool {
        let situation = self.situation(context);
        let after_move = RetrySituation {
            may_have_run: true,
            sends: situation.sends + 1,
            tried: situation.tried + 1,
            ..situation
        };
        let is_usable = |other: &Upstream| {
            other.id != *upstream && !self.tried.contains(&other.id) && context.may_run_at(other)
        };
        after_move.allows_another()
            && !gateway.is_held(context)
            && gateway.has_ready_upstream(&context.service, is_usable)
    }

    /// Describes the attempts so far to the policy of retries.
    fn situation(&self, context: &RequestContext) -> RetrySituation {
        RetrySituation {
            may_have_run: self.may_have_run,
            repeatable: context.route.is_retryable(),
            sends: self.sends,
            max_sends: context.route.max_attempts,
            tried: self.tried.len(),
            time_left_ms: context.time_left().as_millis() as u64,
        }
    }
}
