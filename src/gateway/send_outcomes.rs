use {
    super::*,
    crate::{clock::BootInstant, cluster::MemberEvent, names::UpstreamId, upstreams::*},
    std::{sync::Arc, time::Duration},
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

    /// Records that a send failed.
    pub fn record_send_failure(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Arc<Upstream>,
        failure: &SendFailure,
    ) {
        if let SendFailure::CutOff(_) = failure {
            let fingerprint = context.fingerprint();
            log::info!(
                target: "crash",
                "connection closed by the upstream while the request ran. request={} fingerprint={fingerprint} upstream={}",
                context.id_text(),
                upstream.id
            );
            let sent_at = *context.sent_at.lock();
            let ran = sent_at.map_or(Duration::ZERO, BootInstant::elapsed);
            self.record_cut_off(fingerprint, ran, upstream);
        }
        metrics::counter!(FAILED_SENDS, "run" => failure.kind()).increment(1);
        if !matches!(failure, SendFailure::NotSent(_)) {
            self.record_answer(context, upstream, None);
        }
        match failure {
            SendFailure::NotSent(_) => {}
            SendFailure::Misdirected => self.record_misdirected(&upstream.id),
            SendFailure::Refused(_)
            | SendFailure::MayHaveRun(_)
            | SendFailure::Stalled
            | SendFailure::CutOff(_) => {
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
