use {
    super::{Gateway, LIMITED_ANSWERS, RequestContext},
    crate::{policy::NamedLimit, upstreams::Upstream},
    http::HeaderMap,
};

/// How much upstreams take that say so.
impl Gateway {
    /// Notes what an answer's head says of how much its upstream takes.
    pub(super) fn note_named_limit(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        headers: &HeaderMap,
    ) {
        let values = headers.get_all(&self.names.upstream_limit);
        match NamedLimit::read(values.iter().map(|value| value.as_bytes())) {
            NamedLimit::Absent => {}
            NamedLimit::Rate(rate) => {
                metrics::counter!(LIMITED_ANSWERS).increment(1);
                log::info!(
                    target: "limit",
                    "an upstream names a limit. request={} upstream={} per_s={rate}",
                    context.id_text(),
                    upstream.id
                );
            }
            NamedLimit::Unreadable => log::warn!(
                target: "limit",
                "an upstream names a limit that can't be read. request={} upstream={}",
                context.id_text(),
                upstream.id
            ),
        }
    }
}
