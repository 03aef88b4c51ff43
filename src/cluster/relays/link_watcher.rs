use {
    super::{
        further_daemons::query_further_daemons,
        reach_query::{MAX_QUERIED, query_reach},
    },
    crate::{
        gateway::Gateway,
        http::{HttpClient, HttpError},
        names::UpstreamId,
        upstreams::Upstream,
    },
    futures_util::future::join_all,
    http::StatusCode,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval at which broken links are looked after.
const TICK: Duration = Duration::from_millis(100);
/// Pause after a round of queries in which no relay was found, before other daemons are queried.
const QUERY_PAUSE: Duration = Duration::from_millis(20);
/// Number of daemons that are queried at once.
const QUERIED_DAEMONS: usize = 3;
/// Number of hubs that are asked at once for further daemons.
const ASKED_HUBS: usize = 2;
/// Number of links that are tried at once.
const MAX_PROBES: usize = 8;
/// Interval at which it is checked whether all upstreams that have requests are silent.
const SILENCE_CHECK: Duration = Duration::from_millis(250);
/// How long all upstreams that have requests are silent before links to some of them are tried, in
/// milliseconds.
const SILENT_MS: u64 = 500;
/// Number of upstreams that are tried then.
const SILENCE_PROBES: usize = 3;

/// Looks after the network paths to upstreams: finds daemons through which requests reach the upstreams
/// to which this daemon has lost its own path, and tries whether its own is back.
pub async fn watch_links(gateway: Arc<Gateway>) {
    tokio::join!(
        find_relays(&gateway),
        probe_broken_links(&gateway),
        watch_for_silence(&gateway)
    );
}

async fn find_relays(gateway: &Arc<Gateway>) {
    let client = HttpClient::default();
    loop {
        // A broken link is looked after at once.
        let _ = tokio::time::timeout(TICK, gateway.link_failed.notified()).await;
        loop {
            let ids = gateway.links_to_query(MAX_QUERIED);
            if ids.is_empty() {
                break;
            }
            query_daemons(gateway, &client, &ids).await;
            tokio::time::sleep(QUERY_PAUSE).await;
        }
    }
}

/// Queries the daemons that this one knows, and then those that its hubs know, until the upstreams are
/// reached.
async fn query_daemons(gateway: &Arc<Gateway>, client: &HttpClient, ids: &[UpstreamId]) {
    query_each(gateway, client, ids, gateway.relay_candidates()).await;
    if !gateway.unreached(ids).is_empty() {
        let further = further_candidates(gateway, client).await;
        query_each(gateway, client, ids, further).await;
    }
    gateway.record_all_queried(ids);
}

/// Asks hubs for daemons that may reach upstreams.
async fn further_candidates(gateway: &Arc<Gateway>, client: &HttpClient) -> Vec<SocketAddr> {
    let hubs = gateway.random_sample(gateway.hubs_to_ask(), ASKED_HUBS);
    let queries = hubs.iter().map(|hub| query_further_daemons(client, *hub));
    let named = join_all(queries).await;
    for (hub, named) in hubs.iter().zip(&named) {
        if let Err(e) = named {
            log::info!(target: "reach", "hub did not name further daemons. hub={hub} error=\"{e}\"");
        }
    }
    let named: BTreeSet<SocketAddr> = named.into_iter().flatten().flatten().collect();
    gateway.usable_relays(named.into_iter().collect())
}

/// Queries daemons, a few at a time, until one reaches an upstream or all were queried.
async fn query_each(
    gateway: &Arc<Gateway>,
    client: &HttpClient,
    ids: &[UpstreamId],
    mut candidates: Vec<SocketAddr>,
) {
    while !candidates.is_empty() && !gateway.unreached(ids).is_empty() {
        let rest = candidates.split_off(candidates.len().min(QUERIED_DAEMONS));
        let queries = candidates
            .iter()
            .map(|d| query_one(gateway, client, *d, ids));
        join_all(queries).await;
        candidates = rest;
    }
}

async fn query_one(
    gateway: &Arc<Gateway>,
    client: &HttpClient,
    daemon: SocketAddr,
    ids: &[UpstreamId],
) {
    match query_reach(client, daemon, ids).await {
        Ok(reply) if reply.is_isolated => gateway.record_isolated(daemon),
        Ok(reply) => gateway.record_reached(daemon, ids, &reply.reached),
        Err(e) => {
            let is_unsupported =
                matches!(e, HttpError::Status(status) if status == StatusCode::NOT_FOUND.as_u16());
            if !is_unsupported {
                log::info!(target: "reach", "reach query failed. daemon={daemon} error=\"{e}\"");
            }
            gateway.record_relay_failed(daemon);
        }
    }
}

async fn probe_broken_links(gateway: &Arc<Gateway>) {
    loop {
        tokio::time::sleep(TICK).await;
        let upstreams = gateway.links_to_probe(MAX_PROBES);
        probe_all(gateway, &upstreams).await;
    }
}

async fn probe_all(gateway: &Arc<Gateway>, upstreams: &[Arc<Upstream>]) {
    join_all(upstreams.iter().map(|u| gateway.probe_link(u))).await;
}

/// Tries links while all upstreams that have requests are silent: on connections that pass no byte,
/// nothing else shows that the daemon has lost its network.
async fn watch_for_silence(gateway: &Arc<Gateway>) {
    let mut silent_since_ms = None;
    let mut last_progress_ms = 0;
    loop {
        tokio::time::sleep(SILENCE_CHECK).await;
        let (busy, progress_ms) = gateway.busy_upstreams();
        let now_ms = gateway.steady_ms();
        let has_progress = progress_ms != std::mem::replace(&mut last_progress_ms, progress_ms);
        if busy.is_empty() || has_progress {
            silent_since_ms = None;
            continue;
        }
        let since_ms = *silent_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + SILENT_MS {
            silent_since_ms = Some(now_ms);
            let probed = gateway.random_sample(busy, SILENCE_PROBES);
            probe_all(gateway, &probed).await;
        }
    }
}
