use {
    super::{Gateway, Placement, RequestContext},
    crate::{names::UpstreamId, policy::*, upstreams::*},
};

/// What has been tried for one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The upstreams that it was sent to or that could not be reached.
    pub tried: Vec<UpstreamId>,
    /// How many upstreams it reached that it was meant for.
    pub sends: u32,
    /// How many it reached at all.
    pub arrivals: u32,
    /// Whether it may have run somewhere.
    pub may_have_run: bool,
    /// How the last try failed.
    pub last_failure: Option<SendFailure>,
}

impl Attempts {
    /// Chooses where to send the request next.
    pub async fn place(&self, gateway: &Gateway, context: &RequestContext) -> Option<Placement> {
        gateway.place(context, &self.tried).await
    }

    /// Notes a failure and decides whether the request may be sent elsewhere.
    pub fn may_go_on(
        &mut self,
        gateway: &Gateway,
        context: &RequestContext,
        upstream: &UpstreamId,
        failure: SendFailure,
    ) -> bool {
        self.tried.push(upstream.clone());
        match &failure {
            SendFailure::NotSent(_) => {}
            // It was sent to none of the service's upstreams.
            SendFailure::Misdirected => self.arrivals += 1,
            SendFailure::Refused(_) | SendFailure::MayHaveRun(_) | SendFailure::CutOff(_) => {
                self.arrivals += 1;
                self.sends += 1;
            }
        }
        self.may_have_run |= !failure.is_not_run();
        let situation = RetrySituation {
            may_have_run: self.may_have_run,
            repeatable: context.route.is_retryable(),
            sends: self.sends,
            max_sends: context.route.max_attempts,
            tried: self.tried.len(),
            time_left_ms: context.time_left().as_millis() as u64,
        };
        let draws_on_budget = self.arrivals > 0;
        self.last_failure = Some(failure);
        situation.allows_another()
            && gateway.held_for(context).is_none()
            && (!draws_on_budget || gateway.spend_retry(context))
    }
}
