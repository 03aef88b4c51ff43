use {
    super::{
        COOLDOWN_ANSWERS, Gateway, LEAVING_ANSWERS, RequestContext, left_upstream::watch_for_end,
    },
    crate::{names::UpstreamId, policy::RetryAfter, upstreams::Upstream},
    http::{HeaderMap, StatusCode, header, response::Parts},
    std::sync::Arc,
};

/// How an upstream says in an answer that it leaves.
const LEAVES: &[u8] = b"1";

/// What upstreams say of themselves in their answers, beside how much they take.
impl Gateway {
    /// Notes what the head of an answer says of its upstream.
    pub(super) fn note_words(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Upstream,
        head: &Parts,
    ) {
        if self.says_that_it_leaves(&head.headers) {
            metrics::counter!(LEAVING_ANSWERS).increment(1);
            log::info!(
                target: "upstreams",
                "an answer says that its upstream leaves. request={} upstream={}",
                context.id_text(),
                upstream.id
            );
            self.mark_leaving(&upstream.id, Some(true));
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE {
            self.read_rest(context, upstream, &head.headers);
        }
    }

    /// Notes that an upstream says that it leaves: it gets no new work. `passes_on` says
    /// whether others are told, and then whether hubs are, too.
    pub fn mark_leaving(self: &Arc<Self>, id: &UpstreamId, passes_on: Option<bool>) {
        // The usual case: each of its answers says so.
        let directory = self.directory.read();
        let is_known = directory.get(id).is_some_and(|known| known.draining);
        drop(directory);
        if is_known {
            return;
        }
        let mut is_change = false;
        self.change_directory(|directory, _| is_change = directory.mark_leaving(id));
        if !is_change {
            return;
        }
        if let Some(announces_to_hubs) = passes_on {
            self.leaving_queue
                .lock()
                .record(id.clone(), announces_to_hubs);
        }
        if self.directory.read().is_left_until_its_end(id) {
            tokio::spawn(watch_for_end(self.clone(), id.clone()));
        }
    }

    fn says_that_it_leaves(&self, headers: &HeaderMap) -> bool {
        let values = headers.get_all(&self.names.leaving);
        values
            .iter()
            .any(|value| value.as_bytes().trim_ascii() == LEAVES)
    }

    fn read_rest(&self, context: &RequestContext, upstream: &Upstream, headers: &HeaderMap) {
        let values = headers.get_all(header::RETRY_AFTER);
        match RetryAfter::read(values.iter().map(|value| value.as_bytes())) {
            RetryAfter::Absent => {}
            RetryAfter::For(rest) => {
                metrics::counter!(COOLDOWN_ANSWERS).increment(1);
                log::info!(
                    target: "upstreams",
                    "an upstream asks for rest. request={} upstream={} rest_ms={}",
                    context.id_text(),
                    upstream.id,
                    rest.as_millis()
                );
                self.start_cooldown(&upstream.id, rest);
            }
            RetryAfter::Unreadable => log::warn!(
                target: "upstreams",
                "an upstream names a time of rest that can't be read. upstream={}",
                upstream.id
            ),
        }
    }
}
