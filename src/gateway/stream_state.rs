//! What the answers of upstreams show about the events of streams.

use {
    super::{Gateway, RequestContext, STREAM_FAULTS},
    crate::{
        streams::{StreamFault, StreamIds, UsualIds},
        upstreams::Upstream,
    },
};

impl Gateway {
    /// Returns the ids that the streams of an upstream's service and software version have.
    pub(super) fn usual_ids(&self, upstream: &Upstream) -> UsualIds {
        self.stream_ids
            .lock()
            .usual(&upstream.service, &upstream.version)
    }

    /// Records the ids that an upstream has written in one stream.
    pub(super) fn record_stream_ids(&self, upstream: &Upstream, ids: &StreamIds) {
        let (service, version) = (&upstream.service, &upstream.version);
        self.stream_ids
            .lock()
            .record(service, version, &upstream.id, ids);
    }

    /// Records that an upstream sent bytes that are no part of the stream that was asked for. `last_event` is
    /// the last event before them, `sends` the number of sends before the upstream's.
    pub(super) fn record_stream_fault(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        sends: u32,
        last_event: Option<u64>,
        fault: StreamFault,
    ) {
        metrics::counter!(STREAM_FAULTS, "kind" => fault.kind()).increment(1);
        log::warn!(
            target: "stream",
            "upstream sent bytes that are no part of its stream. request={} upstream={} version={} sends={} last_event={last_event:?} kind={} cause=\"{fault}\"",
            context.id_text(),
            upstream.id,
            upstream.version,
            sends + 1,
            fault.kind()
        );
    }
}
