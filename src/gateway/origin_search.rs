//! The search for the software version at which a stream may go on that a client takes up.

use {
    super::{Gateway, RequestContext, TAKEN_UP_STREAMS},
    crate::{
        cluster::{Extension, OriginQuery},
        names::ServiceName,
        policy::{AttemptKey, Resumption, ResumptionEvidence},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{fmt, net::SocketAddr, sync::Arc},
};

/// A search for the origin of a stream: what it found, and whom it reached.
#[derive(Debug, Default)]
struct OriginSearch {
    evidence: ResumptionEvidence,
    /// Number of daemons that were asked.
    asked: usize,
    /// Number of daemons that answered.
    answered: usize,
    log: LogSearch,
}

/// Whether a search has read the shared log.
#[derive(Clone, Copy, Debug, Default)]
enum LogSearch {
    /// The daemons knew enough, or there is no log.
    #[default]
    NotNeeded,
    Read,
    Failed,
}

impl fmt::Display for LogSearch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotNeeded => "not_needed",
            Self::Read => "read",
            Self::Failed => "failed",
        })
    }
}

impl Gateway {
    /// Returns the upstreams at which a stream may go on that a client takes up. Asks other daemons and
    /// the shared log if this daemon does not know.
    pub(super) async fn find_resumption(self: &Arc<Self>, context: &RequestContext) -> Resumption {
        let service = &context.service;
        let mut search = OriginSearch::default();
        let key = context.origin_key();
        let known = key.and_then(|key| self.known_origin(key));
        search.evidence.add(known, self.known_versions(service));
        match key {
            Some(key) => self.ask_for_origin(service, key, &mut search).await,
            // The client does not name the attempt that began the stream.
            None => search.evidence.record_nobody_to_ask(),
        }
        let resumption = search.evidence.clone().decide();
        count_taken_up(context, &resumption, &search);
        resumption
    }

    /// Asks the daemons of the own failure domain, then the others, then the shared log, until it is known
    /// where a stream may go on.
    async fn ask_for_origin(
        self: &Arc<Self>,
        service: &ServiceName,
        key: AttemptKey,
        search: &mut OriginSearch,
    ) {
        let (near, far) = self.peers.lock().origin_daemons();
        if near.is_empty() && far.is_empty() && self.origin_log.get().is_none() {
            search.evidence.record_nobody_to_ask();
        }
        for daemons in [near, far] {
            if search.evidence.is_open() {
                self.query_origin(service, key, &daemons, search).await;
            }
        }
        if search.asked > 0 && search.answered == 0 {
            search.evidence.record_unheard();
        }
        if search.evidence.is_open() {
            self.read_origin(service, key, search).await;
        }
    }

    /// Queries daemons, all at once, until one knows the stream or all have answered.
    async fn query_origin(
        &self,
        service: &ServiceName,
        key: AttemptKey,
        daemons: &[SocketAddr],
        search: &mut OriginSearch,
    ) {
        let query = |id| {
            Extension::OriginQuery(OriginQuery {
                incarnation: self.incarnation,
                id,
                service: service.to_string(),
                attempt: key.0,
            })
        };
        let queries = daemons
            .iter()
            .map(|daemon| self.origin_client.query(self, *daemon, query));
        let mut answers: FuturesUnordered<_> = queries.collect();
        search.asked += daemons.len();
        while !search.evidence.has_origin()
            && let Some(answer) = answers.next().await
        {
            if let Some(answer) = answer {
                search.answered += 1;
                search.evidence.add_heard(answer.version, answer.versions);
            }
        }
    }

    /// Reads the shared log for the origin of a stream. If no other daemon answers, a version may have come of
    /// which this one does not know, so the record of versions is read as well.
    async fn read_origin(
        self: &Arc<Self>,
        service: &ServiceName,
        key: AttemptKey,
        search: &mut OriginSearch,
    ) {
        let Some(log) = self.origin_log.get() else {
            return;
        };
        let (is_read, are_versions_current) = match search.evidence.is_unheard() {
            true => tokio::join!(log.read(self), self.reread_versions()),
            false => (log.read(self).await, true),
        };
        let (origin, versions) = (self.known_origin(key), self.known_versions(service));
        match is_read {
            true => {
                search.log = LogSearch::Read;
                match are_versions_current {
                    true => search.evidence.add_heard(origin, versions),
                    false => search.evidence.add(origin, versions),
                }
            }
            false => {
                search.log = LogSearch::Failed;
                search.evidence.record_unread_log();
                search.evidence.add(origin, versions);
            }
        }
    }
}

/// Counts a stream that a client takes up, by what is known of it.
fn count_taken_up(context: &RequestContext, resumption: &Resumption, search: &OriginSearch) {
    let (label, version) = match resumption {
        Resumption::At(version) => ("known", version.as_str()),
        Resumption::Inferred(version) => ("inferred", version.as_str()),
        Resumption::Anywhere => ("one_version", "any"),
        Resumption::Nowhere => ("unknown", "unknown"),
    };
    metrics::counter!(TAKEN_UP_STREAMS, "version" => label).increment(1);
    log::info!(
        target: "stream",
        "stream taken up. request={} resumes={} last_event={:?} origin={label} version={version} asked={} answered={} log={}",
        context.id_text(),
        context.resumed_text(),
        context.last_event_id,
        search.asked,
        search.answered,
        search.log
    );
}
