use {
    super::{CRASHED_UPSTREAMS, Gateway, RequestContext, shared_part_ids},
    crate::{
        clock::BootInstant,
        names::{PartFingerprint, RequestFingerprint, UpstreamId},
        policy::AccountHash,
        routing::Route,
        upstreams::*,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// How long an accepted connection has to stay open, until another one is accepted, to show that the
/// upstream is alive: a process that ends may close its connections shortly before its listening socket,
/// and a connection that it accepts in between may stay open for longer.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);
/// Number of connections that are tried. An upstream that accepts and closes all of them
/// counts as alive, since an upstream at its connection limit does that.
const MAX_CHECKS: usize = 3;
/// Maximum number of interrupted requests kept for one upstream: more than any observed
/// upstream has run concurrently.
const MAX_REQUESTS: usize = 256;

/// Requests whose connection was closed while they ran, by upstream, until it is known
/// whether that upstream crashed.
pub(super) type CutOffs = HashMap<UpstreamId, UpstreamCutOffs>;

/// What was cut off at one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamCutOffs {
    requests: BTreeMap<RequestFingerprint, CutOff>,
    /// The shared parts of the requests' prompts.
    parts: Vec<CutOffPart>,
    /// The route of each attempt that was cut off.
    routes: Vec<Arc<Route>>,
}

/// When a request was cut off. The time is recorded at once, since the check whether the
/// upstream crashed takes up to some hundred milliseconds, and the request is sent to another
/// upstream before that.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutOff {
    /// Time of the interruption, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
    /// How long the request had been at the upstream, in milliseconds.
    pub ran_ms: u64,
}

/// A part in the prompt of a request that was cut off.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutOffPart {
    pub part: PartFingerprint,
    /// How deep in the prompt it is: 0 for the first part.
    pub depth: u8,
    /// Number of the request among those that were cut off at the upstream.
    pub request: u64,
    pub account: AccountHash,
    /// Time of the interruption, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
    /// How long the upstream had been answering the request, in milliseconds.
    pub answering_ms: u64,
}

/// Detects upstreams that crash while they run requests.
impl Gateway {
    /// Records that an upstream closed the connection of a running request, and checks in the
    /// background whether the upstream has crashed. One check serves all requests that were
    /// cut off at the upstream; its connection is pooled if it stays open.
    ///
    /// The attempt counts as failed at the upstream only after the check: if this daemon has lost its own
    /// path, the upstream has no part in it.
    pub(super) fn record_cut_off(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Arc<Upstream>,
    ) {
        let fingerprint = context.fingerprint();
        log::info!(
            target: "crash",
            "connection closed by the upstream while the request ran. request={} fingerprint={fingerprint} upstream={} answering_ms={} parts={}",
            context.id_text(),
            upstream.id,
            context.answering_for().as_millis(),
            self.part_ids_text(context)
        );
        let sent_at = *context.sent_at.lock();
        let ran = sent_at.map_or(Duration::ZERO, BootInstant::elapsed);
        let mut cut_offs = self.cut_offs.lock();
        let is_first = !cut_offs.contains_key(&upstream.id);
        let at_upstream = cut_offs.entry(upstream.id.clone()).or_default();
        at_upstream.routes.push(context.route.clone());
        let requests = &mut at_upstream.requests;
        let cut_off = CutOff {
            at_ms: self.steady_ms(),
            ran_ms: ran.as_millis() as u64,
        };
        if requests.len() < MAX_REQUESTS {
            // Of concurrent attempts of one request, the time of the first one counts.
            let known = requests.entry(fingerprint).or_insert(cut_off);
            known.ran_ms = known.ran_ms.max(cut_off.ran_ms);
            let parts = context.shared_parts(&self.names).iter().zip(0..);
            at_upstream
                .parts
                .extend(parts.map(|(part, depth)| CutOffPart {
                    part: *part,
                    depth,
                    request: at_upstream.routes.len() as u64,
                    account: context.account_hash(),
                    at_ms: cut_off.at_ms,
                    answering_ms: context.answering_for().as_millis() as u64,
                }));
        }
        drop(cut_offs);
        if is_first {
            tokio::spawn(check_for_crash(self.clone(), upstream.clone()));
        }
    }
}

impl Gateway {
    /// Returns the ids of a prompt's shared parts for the log, separated by commas.
    fn part_ids_text(&self, context: &RequestContext) -> String {
        let ids: Vec<&str> = shared_part_ids(&context.headers, &self.names).collect();
        ids.join(",")
    }
}

async fn check_for_crash(gateway: Arc<Gateway>, upstream: Arc<Upstream>) {
    let failure = find_failure(&gateway, &upstream).await;
    let is_own = failure.is_some() && gateway.has_lost_link(&upstream.id).await;
    let Some(cut_off) = gateway.cut_offs.lock().remove(&upstream.id) else {
        return;
    };
    if is_own {
        log::info!(
            target: "crash",
            "another daemon reaches an upstream that closed connections, so it has not crashed. upstream={} requests={}",
            upstream.id,
            cut_off.requests.len()
        );
        return;
    }
    for route in &cut_off.routes {
        gateway.record_outcome(&upstream.id, true);
        gateway.record_failed_answer(route, &upstream);
    }
    let requests = cut_off.requests;
    let Some(cause) = failure else {
        log::info!(
            target: "crash",
            "an upstream that closed connections accepts new ones, so it has not crashed. upstream={} requests={}",
            upstream.id,
            requests.len()
        );
        return;
    };
    // An upstream that has announced that it leaves ends regardless of its requests. If it
    // counted, a stream that moves through three waves of reclaims would be held back.
    if !gateway.directory.read().is_ready(&upstream.id) {
        return;
    }
    metrics::counter!(CRASHED_UPSTREAMS).increment(1);
    log::warn!(
        target: "crash",
        "upstream crashed while running requests. upstream={} domain={} requests={} fingerprints={} cause=\"{cause}\"",
        upstream.id,
        upstream.domain,
        requests.len(),
        comma_separated(&requests)
    );
    gateway.record_parts_at_crash(&upstream.id, &cut_off.parts);
    gateway.record_upstream_crash(&upstream.id, requests.into_iter());
}

/// Checks whether an upstream accepts connections, keeps them open, and still accepts others then. Returns
/// the failure if it does not.
pub(super) async fn find_failure(gateway: &Gateway, upstream: &Upstream) -> Option<SendFailure> {
    for _ in 0..MAX_CHECKS {
        let connection = match gateway.connect_directly(upstream).await {
            Ok(connection) => connection,
            Err(failure) => return Some(failure),
        };
        tokio::time::sleep(MIN_OPEN_TIME).await;
        if connection.is_open() {
            let later = gateway.connect_directly(upstream).await;
            let later = later.map(|connection| {
                let endpoint = Endpoint::Upstream(upstream.id.clone());
                gateway.pool.put(&endpoint, connection, None);
            });
            return later.err();
        }
    }
    None
}

fn comma_separated(requests: &BTreeMap<RequestFingerprint, CutOff>) -> String {
    let texts: Vec<String> = requests.keys().map(ToString::to_string).collect();
    texts.join(",")
}
