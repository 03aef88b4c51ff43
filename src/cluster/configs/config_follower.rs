use {
    crate::{
        cluster::{CONFIG_PATH, ConfigAnswer, ConfigQuery, FeedError, decode, encode},
        gateway::Gateway,
        http::HttpClient,
        policy::MissingConfig,
        routing::unpack_config,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How long the head of an answer may take, and how long it may be silent: some
/// round trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The least time between two questions, in milliseconds; up to twice that is
/// drawn, so that daemons don't ask in step. About what a packed configuration of
/// 4,200 routes takes on a link of 10 Mbit/s.
const ASK_AGAIN_MS: u64 = 40;

/// Gets newer configurations from daemons that have them, and decides when the
/// source is to be read instead. It is a task of its own: news of upstreams
/// don't wait behind a large configuration.
pub async fn follow_config_of_daemons(gateway: Arc<Gateway>) {
    let client = HttpClient::default();
    loop {
        gateway.until_config_is_outdated().await;
        let mut lack = MissingConfig::new(gateway.steady_ms());
        while gateway.is_config_outdated() {
            let reads_source = *gateway.reads_source.borrow();
            if lack.queries_daemons(reads_source, gateway.steady_ms()) {
                query_one(&gateway, &client, &mut lack).await;
            }
            gateway.set_reads_config(lack.needs_source(gateway.steady_ms()));
            if gateway.is_config_outdated() {
                let drawn_ms = gateway.draw() % ASK_AGAIN_MS;
                tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS + drawn_ms)).await;
            }
        }
        gateway.set_reads_config(false);
    }
}

async fn query_one(gateway: &Gateway, client: &HttpClient, lack: &mut MissingConfig) {
    let Some(peer) = drawn_holder(gateway) else {
        return;
    };
    match query(gateway, client, peer).await {
        Ok(ConfigAnswer::NoLater) => {}
        Ok(ConfigAnswer::Busy { version, told }) => {
            lack.record_deferred(gateway.steady_ms());
            let mut peers = gateway.peers.lock();
            for holder in told {
                peers.apply_peer_config(holder, version);
            }
        }
        Ok(ConfigAnswer::Config { packed, position }) => {
            take_in_packed(gateway, peer, &packed, position);
        }
        Err(e) => log::info!(target: "peers", "no configuration. peer={peer} error=\"{e}\""),
    }
}

/// Draws one of the daemons that have the newest configuration: if all asked
/// the same one, its link would be the measure for all of them.
fn drawn_holder(gateway: &Gateway) -> Option<SocketAddr> {
    let draw = gateway.draw() as usize;
    let holders = gateway
        .peers
        .lock()
        .config_holders(gateway.config_version());
    let index = draw.checked_rem(holders.len())?;
    holders.get(index).copied()
}

async fn query(
    gateway: &Gateway,
    client: &HttpClient,
    peer: SocketAddr,
) -> Result<ConfigAnswer, FeedError> {
    let body = encode(&ConfigQuery {
        version: gateway.config_version(),
        address: gateway.settings.listen.peers,
    })?;
    let answer = client.post(peer, CONFIG_PATH, body, ANSWER_TIMEOUT).await?;
    decode(&answer)
}

fn take_in_packed(gateway: &Gateway, peer: SocketAddr, packed: &[u8], position: Option<u64>) {
    match unpack_config(packed) {
        Ok(config) => {
            log::info!(
                target: "config",
                "told by a daemon. version={} bytes={} peer={peer}",
                config.version,
                packed.len()
            );
            gateway.apply_config(config);
            gateway.record_config_position(position);
            gateway.check_ready();
        }
        Err(e) => {
            log::warn!(target: "peers", "configuration not understood. peer={peer} error=\"{e}\"")
        }
    }
}
