use {
    super::*,
    crate::{cluster::MemberEvent, names::UpstreamId, upstreams::*},
    http::{HeaderMap, response::Parts},
    std::sync::Arc,
};

/// Records the outcomes of sends, from which upstreams are rated.
impl Gateway {
    /// Records that an upstream will have a request's prompt in its prefix cache.
    pub fn record_cached(&self, prompt: &Prompt, upstream: &Upstream) {
        let parts = prompt.parts.iter().map(|p| p.chain);
        let now_ms = self.steady_ms();
        self.caches.lock().record(&upstream.id, parts, now_ms);
    }

    /// Records whether a request failed at an upstream. Failures of an upstream in cooldown
    /// don't count: it has named itself the time until which it takes no requests, and the
    /// failure rate would exclude it for far longer.
    pub fn record_outcome(&self, upstream: &UpstreamId, failed: bool) {
        if failed && self.is_in_cooldown(upstream) {
            return;
        }
        let now_ms = self.steady_ms();
        self.loads
            .lock()
            .entry(upstream)
            .record_outcome(failed, now_ms);
        self.record_event(|| MemberEvent::Ended {
            upstream: upstream.to_string(),
            failed,
        });
    }

    /// Records that another server answers at an upstream's address.
    fn record_misdirected(&self, upstream: &UpstreamId) {
        let now_ms = self.steady_ms();
        self.loads.lock().entry(upstream).record_misdirected(now_ms);
        self.record_event(|| MemberEvent::Misdirected {
            upstream: upstream.to_string(),
        });
    }

    /// Checks that a response is the answer to a request with the given headers.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::MayHaveRun`] if it is not. Its connection must not be used again.
    pub(crate) fn check_owner(
        &self,
        request: &HeaderMap,
        upstream: &UpstreamId,
        answer: &Parts,
    ) -> Result<(), SendFailure> {
        let Some(foreign) = ForeignAnswer::find(&self.names, request, answer) else {
            return Ok(());
        };
        let upstream = upstream.to_string();
        metrics::counter!(FOREIGN_ANSWERS, "upstream" => upstream, "reason" => foreign.label())
            .increment(1);
        let cause = format!("the response is no answer to the request: {foreign}");
        Err(SendFailure::MayHaveRun(cause))
    }

    /// Records that a send failed.
    pub fn record_send_failure(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Arc<Upstream>,
        failure: &SendFailure,
    ) {
        metrics::counter!(FAILED_SENDS, "run" => failure.kind()).increment(1);
        match failure {
            // Nothing went wrong at the upstream, and the request may find room there soon.
            SendFailure::NoSlot => return,
            SendFailure::NotSent(_) => {}
            SendFailure::CutOff(_) => self.record_cut_off(context, upstream),
            SendFailure::Misdirected => {
                self.record_answer(context, upstream, None);
                self.record_misdirected(&upstream.id);
            }
            // The daemon has lost its path to the upstream, which shows nothing about the upstream.
            SendFailure::MayHaveRun(_) | SendFailure::Stalled if self.is_link_broken(upstream) => {}
            SendFailure::Refused(_)
            | SendFailure::MayHaveRun(_)
            | SendFailure::InvalidStream(_)
            | SendFailure::Stalled => {
                self.record_answer(context, upstream, None);
                self.record_outcome(&upstream.id, true);
            }
        }
        log::warn!(
            target: "send",
            "send failed. request={} upstream={} domain={} cause=\"{failure}\"",
            context.id_text(),
            upstream.id,
            upstream.domain
        );
    }
}
