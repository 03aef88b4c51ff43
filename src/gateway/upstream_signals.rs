use {
    super::{
        COOLDOWN_ANSWERS, Gateway, LEAVING_ANSWERS, RequestContext,
        leaving_upstream::watch_for_exit,
    },
    crate::{names::UpstreamId, policy::RetryAfter, upstreams::Upstream},
    http::{HeaderMap, StatusCode, header, response::Parts},
    std::sync::Arc,
};

/// Value of the `leaving` header by which an upstream announces that it leaves.
const LEAVING_VALUE: &[u8] = b"1";

/// Applies what upstreams signal in response headers, except for rate limits.
impl Gateway {
    /// Applies the leaving and cooldown signals in the head of a response.
    pub(super) fn record_signals(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Upstream,
        head: &Parts,
    ) {
        if self.announces_leaving(&head.headers) {
            metrics::counter!(LEAVING_ANSWERS).increment(1);
            log::info!(
                target: "upstreams",
                "response announces that its upstream leaves. request={} upstream={}",
                context.id_text(),
                upstream.id
            );
            self.mark_leaving(&upstream.id, Some(true));
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE {
            self.apply_retry_after(context, upstream, &head.headers);
        }
    }

    /// Marks an upstream as leaving, so that it gets no new requests. With `forward_to_hubs`, the
    /// change is announced to other daemons, and to hubs too if its value is true.
    pub fn mark_leaving(self: &Arc<Self>, id: &UpstreamId, forward_to_hubs: Option<bool>) {
        // The usual case, since every response of a leaving upstream has the header.
        let directory = self.directory.read();
        let is_marked = directory.get(id).is_some_and(|known| known.draining);
        drop(directory);
        if is_marked {
            return;
        }
        let mut is_change = false;
        self.change_directory(|directory, _| is_change = directory.mark_leaving(id));
        if !is_change {
            return;
        }
        if let Some(announces_to_hubs) = forward_to_hubs {
            self.leaving_queue
                .lock()
                .record(id.clone(), announces_to_hubs);
        }
        if self.directory.read().is_leaving_until_exit(id) {
            tokio::spawn(watch_for_exit(self.clone(), id.clone()));
        }
    }

    fn announces_leaving(&self, headers: &HeaderMap) -> bool {
        let values = headers.get_all(&self.names.leaving);
        values
            .iter()
            .any(|value| value.as_bytes().trim_ascii() == LEAVING_VALUE)
    }

    fn apply_retry_after(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        headers: &HeaderMap,
    ) {
        let values = headers.get_all(header::RETRY_AFTER);
        match RetryAfter::read(values.iter().map(|value| value.as_bytes())) {
            RetryAfter::Absent => {}
            RetryAfter::For(cooldown) => {
                metrics::counter!(COOLDOWN_ANSWERS).increment(1);
                log::info!(
                    target: "upstreams",
                    "upstream asks for a cooldown. request={} upstream={} rest_ms={}",
                    context.id_text(),
                    upstream.id,
                    cooldown.as_millis()
                );
                self.start_cooldown(&upstream.id, cooldown);
            }
            RetryAfter::Unreadable => log::warn!(
                target: "upstreams",
                "upstream sent an invalid Retry-After. upstream={}",
                upstream.id
            ),
        }
    }
}
