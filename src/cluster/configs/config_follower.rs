use {
    crate::{
        cluster::{
            CONFIG_PATH, ConfigAnswer, ConfigQuery, ERA_CONFIG_PATH, EraConfigAnswer, FeedError,
            decode, encode,
        },
        gateway::Gateway,
        http::{HttpClient, HttpError},
        names::{SourceEra, SourcePosition},
        policy::MissingConfig,
        routing::unpack_config,
    },
    http::StatusCode,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Timeout for the head of an answer, and for each pause within its body: several round
/// trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two queries, in milliseconds. The actual time is drawn between
/// this and twice this, so that daemons do not query in step. It is about the time that a
/// packed configuration of 4,200 routes takes on a link of 10 Mbit/s.
const QUERY_INTERVAL_MS: u64 = 40;

/// Fetches newer configurations from daemons that have them, and decides when the
/// shared source is to be read instead. Runs as a task of its own, so that updates of
/// upstreams are not delayed by a large configuration.
pub async fn follow_config_of_daemons(gateway: Arc<Gateway>) {
    let client = HttpClient::default();
    loop {
        gateway.until_config_is_outdated().await;
        let mut missing = MissingConfig::new(gateway.steady_ms());
        while gateway.is_config_outdated() {
            let reads_source = *gateway.reads_source.borrow();
            if missing.queries_daemons(reads_source, gateway.steady_ms()) {
                query_one(&gateway, &client, &mut missing).await;
            }
            gateway.set_reads_config(missing.needs_source(gateway.steady_ms()));
            if gateway.is_config_outdated() {
                let jitter_ms = gateway.draw() % QUERY_INTERVAL_MS;
                tokio::time::sleep(Duration::from_millis(QUERY_INTERVAL_MS + jitter_ms)).await;
            }
        }
        gateway.set_reads_config(false);
    }
}

async fn query_one(gateway: &Gateway, client: &HttpClient, missing: &mut MissingConfig) {
    let Some(peer) = random_holder(gateway) else {
        return;
    };
    match query(gateway, client, peer).await {
        Ok((_, ConfigAnswer::NoLater)) => {}
        Ok((
            _,
            ConfigAnswer::Busy {
                version,
                recipients,
            },
        )) => {
            missing.record_deferred(gateway.steady_ms());
            let mut peers = gateway.peers.lock();
            for holder in recipients {
                peers.apply_peer_config(holder, version);
            }
        }
        Ok((era, ConfigAnswer::Config { packed, position })) => {
            let position = position.filter(|_| era.is_known());
            let position = position.map(|offset| SourcePosition { era, offset });
            apply_packed(gateway, peer, &packed, position);
        }
        Err(e) => {
            log::info!(target: "peers", "configuration query failed. peer={peer} error=\"{e}\"")
        }
    }
}

/// Picks one of the daemons that have the newest configuration at random. If all daemons
/// queried the same one, its link would limit the whole distribution.
fn random_holder(gateway: &Gateway) -> Option<SocketAddr> {
    let draw = gateway.draw() as usize;
    let holders = gateway
        .peers
        .lock()
        .config_holders(gateway.config_version());
    let index = draw.checked_rem(holders.len())?;
    holders.get(index).copied()
}

/// Queries a daemon for its configuration. Returns its answer, and the era of the source in which
/// the position in the answer counts; unknown for a daemon whose build knows of no eras.
async fn query(
    gateway: &Gateway,
    client: &HttpClient,
    peer: SocketAddr,
) -> Result<(SourceEra, ConfigAnswer), FeedError> {
    let body = encode(&ConfigQuery {
        version: gateway.config_version(),
        address: gateway.settings.listen.peers,
    })?;
    let may_know_eras = gateway.peers.lock().may_know_eras(peer);
    if may_know_eras {
        let answer = client.post(peer, ERA_CONFIG_PATH, body.clone(), ANSWER_TIMEOUT);
        match answer.await {
            Ok(answer) => {
                let EraConfigAnswer { era, answer } = decode(&answer)?;
                return Ok((era, answer));
            }
            Err(HttpError::Status(status)) if status == StatusCode::NOT_FOUND => {}
            Err(e) => return Err(e.into()),
        }
    }
    let answer = client.post(peer, CONFIG_PATH, body, ANSWER_TIMEOUT).await?;
    Ok((SourceEra::UNKNOWN, decode(&answer)?))
}

fn apply_packed(
    gateway: &Gateway,
    peer: SocketAddr,
    packed: &[u8],
    position: Option<SourcePosition>,
) {
    match unpack_config(packed) {
        Ok(config) => {
            log::info!(
                target: "config",
                "configuration received from a daemon. version={} bytes={} peer={peer}",
                config.version,
                packed.len()
            );
            gateway.apply_config(config);
            gateway.record_config_position(position);
            gateway.check_ready();
        }
        Err(e) => {
            log::warn!(target: "peers", "received configuration could not be decoded. peer={peer} error=\"{e}\"")
        }
    }
}
