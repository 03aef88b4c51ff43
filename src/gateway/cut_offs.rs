use {
    super::{CRASHED_UPSTREAMS, Gateway},
    crate::{
        names::{RequestFingerprint, UpstreamId},
        upstreams::*,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// How long an upstream has to take a connection that ended one: as long as a send
/// gives it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection has to stay open that an upstream took: one that ends may close
/// the connections that it has some moments before the socket on which it takes new ones.
const SETTLE: Duration = Duration::from_millis(50);
/// How many connections it may close at once and still count as alive: one that has as
/// many as it takes does that.
const CHECKS: usize = 3;
/// How many requests are kept that were cut off at one upstream: more ran beside each
/// other on none that was seen.
const MAX_REQUESTS: usize = 256;

/// Requests that were cut off, by the upstream they were at, until it is known whether it
/// ended.
pub(super) type CutOffs = HashMap<UpstreamId, BTreeMap<RequestFingerprint, CutOff>>;

/// When a request was cut off. To find out whether its upstream ended takes up to some
/// hundred milliseconds more, in which the request has long been sent on.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutOff {
    /// In milliseconds of the daemon's clock.
    pub at_ms: u64,
    /// For how long it had been there, in milliseconds.
    pub ran_ms: u64,
}

/// Whether upstreams end under requests.
impl Gateway {
    /// Notes that an upstream ended the connection that a request ran on, and finds out
    /// whether the upstream has ended: one connection is opened for all requests that
    /// were cut off there. One that comes up is used for the next request.
    pub(super) fn record_cut_off(
        self: &Arc<Self>,
        fingerprint: RequestFingerprint,
        ran: Duration,
        upstream: &Arc<Upstream>,
    ) {
        let mut cut_offs = self.cut_offs.lock();
        let is_first = !cut_offs.contains_key(&upstream.id);
        let requests = cut_offs.entry(upstream.id.clone()).or_default();
        let cut_off = CutOff {
            at_ms: self.steady_ms(),
            ran_ms: ran.as_millis() as u64,
        };
        if requests.len() < MAX_REQUESTS {
            // Of tries of one request that were there together, the first one counts.
            let known = requests.entry(fingerprint).or_insert(cut_off);
            known.ran_ms = known.ran_ms.max(cut_off.ran_ms);
        }
        drop(cut_offs);
        if is_first {
            tokio::spawn(check_upstream(self.clone(), upstream.clone()));
        }
    }
}

async fn check_upstream(gateway: Arc<Gateway>, upstream: Arc<Upstream>) {
    let end = find_end(&gateway, &upstream).await;
    let requests = gateway.cut_offs.lock().remove(&upstream.id);
    let (Some(cause), Some(requests)) = (end, requests) else {
        return;
    };
    // One that leaves ends as it said, whatever runs there: a stream that three waves of
    // reclaims moved on would be held back.
    if !gateway.directory.read().is_ready(&upstream.id) {
        return;
    }
    metrics::counter!(CRASHED_UPSTREAMS).increment(1);
    log::warn!(
        target: "crash",
        "an upstream ended under requests. upstream={} domain={} requests={} fingerprints={} cause=\"{cause}\"",
        upstream.id,
        upstream.domain,
        requests.len(),
        listed(&requests)
    );
    gateway.record_upstream_crash(&upstream.id, requests.into_iter());
}

/// Finds out whether an upstream takes connections and keeps them; returns how it fails to.
async fn find_end(gateway: &Gateway, upstream: &Upstream) -> Option<SendFailure> {
    for _ in 0..CHECKS {
        match UpstreamPool::connect(upstream.address, CHECK_TIMEOUT).await {
            Err(failure) => return Some(failure),
            Ok(connection) => {
                tokio::time::sleep(SETTLE).await;
                if connection.is_open() {
                    gateway.pool.put(&upstream.id, connection, None);
                    return None;
                }
            }
        }
    }
    None
}

fn listed(requests: &BTreeMap<RequestFingerprint, CutOff>) -> String {
    let texts: Vec<String> = requests.keys().map(ToString::to_string).collect();
    texts.join(",")
}
