use {
    super::source_age_ms,
    crate::{
        backends::Backend,
        gateway::{AnswerBody, Gateway, own_answer, serve_plain, whole_body},
        http::{HttpClient, HttpError},
        routing::RoutingConfig,
    },
    http::{Response, StatusCode},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

const STATE_PATH: &str = "/cluster/state";
const FOLLOW_EVERY: Duration = Duration::from_millis(300);
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(700);
/// After how long without an answer of the own source others are asked for
/// back ends, in milliseconds.
const SOURCE_STALE_MS: u64 = 1_800;

/// What a daemon tells another that can't reach its source.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterState {
    /// The configuration in force.
    pub config: Option<RoutingConfig>,
    /// The back ends.
    pub backends: Vec<Backend>,
}

/// Tells other daemons what this one knows.
pub async fn serve_state(listener: TcpListener, gateway: Arc<Gateway>) {
    serve_plain(listener, move |request| match request.uri().path() {
        STATE_PATH => state_answer(&gateway),
        _ => own_answer(StatusCode::NOT_FOUND, "no such path"),
    })
    .await;
}

fn state_answer(gateway: &Gateway) -> Response<AnswerBody> {
    let state = ClusterState {
        config: gateway.table().map(|t| t.config().as_ref().clone()),
        backends: {
            let directory = gateway.directory.read();
            directory.all().map(|b| b.as_ref().clone()).collect()
        },
    };
    match serde_json::to_vec(&state) {
        Ok(json) => Response::new(whole_body(json)),
        Err(e) => own_answer(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Follows other daemons where they know more: a newer configuration always,
/// back ends while the own source doesn't answer.
pub async fn follow_peers(gateway: Arc<Gateway>) {
    let client = HttpClient::default();
    loop {
        tokio::time::sleep(FOLLOW_EVERY).await;
        let Some(peer) = choose_peer(&gateway) else {
            continue;
        };
        match fetch(&client, peer).await {
            Ok(state) => take_in(&gateway, state),
            Err(e) => log::info!(target: "peers", "no state. peer={peer} error=\"{e}\""),
        }
    }
}

/// Returns the peer to ask, if there is something to learn.
fn choose_peer(gateway: &Gateway) -> Option<SocketAddr> {
    let own_version = gateway.table().map_or(0, |t| t.version());
    let own_age_ms = source_age_ms(gateway);
    let peers = gateway.peers.lock();
    if own_age_ms > SOURCE_STALE_MS {
        let (address, version, age_ms) = peers.best_informed()?;
        let knows_more = age_ms < SOURCE_STALE_MS || version > own_version;
        return knows_more.then_some(address);
    }
    let (address, version) = peers.newest_config()?;
    (version > own_version).then_some(address)
}

async fn fetch(client: &HttpClient, peer: SocketAddr) -> Result<ClusterState, HttpError> {
    client.get_json(peer, STATE_PATH, FOLLOW_TIMEOUT).await
}

fn take_in(gateway: &Gateway, state: ClusterState) {
    if let Some(config) = state.config {
        gateway.apply_config(config);
    }
    if source_age_ms(gateway) > SOURCE_STALE_MS {
        gateway.directory.write().replace(state.backends);
    }
    gateway.check_ready();
}
