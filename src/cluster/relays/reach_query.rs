use {
    crate::{
        cluster::{FeedError, decode, encode},
        gateway::{AnswerBody, Gateway, full_body, local_response},
        http::{HttpClient, HttpError},
        names::UpstreamId,
        policy::LinkPath,
        upstreams::Upstream,
    },
    futures_util::future::join_all,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Path at which daemons query each other for the upstreams that they reach. The number is the
/// protocol version.
pub(in crate::cluster) const REACH_PATH: &str = "/cluster/reach/1";
/// Maximum number of upstreams in a query.
pub(super) const MAX_QUERIED: usize = 24;
/// Maximum size of an encoded query, in bytes.
const MAX_QUERY_BYTES: usize = 8 * 1024;
/// Timeout for the answer: the queried daemon may try to connect to the upstreams first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A daemon's query for the upstreams that another one reaches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReachQuery {
    /// The ids of the upstreams.
    pub upstreams: Vec<String>,
}

/// The answer to a [`ReachQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReachReply {
    /// For each upstream of the query, in the same order, whether the daemon reaches it itself.
    pub reached: Vec<bool>,
    /// The daemon can open no connection to any upstream.
    pub is_isolated: bool,
}

/// Queries a daemon for the upstreams that it reaches itself.
///
/// # Errors
///
/// Returns how the call failed. A daemon of an earlier build answers with status 404.
pub(super) async fn query_reach(
    client: &HttpClient,
    daemon: SocketAddr,
    ids: &[UpstreamId],
) -> Result<ReachReply, HttpError> {
    let query = ReachQuery {
        upstreams: ids.iter().map(ToString::to_string).collect(),
    };
    let malformed = |e: FeedError| HttpError::Malformed(e.to_string());
    let query = encode(&query).map_err(malformed)?;
    let reply = client
        .post(daemon, REACH_PATH, query, ANSWER_TIMEOUT)
        .await?;
    decode(&reply).map_err(malformed)
}

/// Answers a daemon's query for the upstreams that this one reaches.
pub(in crate::cluster) async fn answer_reach_query(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let body = Limited::new(request.into_body(), MAX_QUERY_BYTES);
    let Ok(body) = body.collect().await else {
        return local_response(StatusCode::BAD_REQUEST, "expected a short query");
    };
    let query = match decode::<ReachQuery>(&body.to_bytes()) {
        Ok(query) => query,
        Err(e) => return local_response(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let ids = query.upstreams.iter().take(MAX_QUERIED);
    let ids = ids.map(|id| UpstreamId::from(id.as_str()));
    let reached = join_all(ids.map(|id| reaches(&gateway, id))).await;
    let reply = ReachReply {
        reached,
        is_isolated: gateway.is_isolated(),
    };
    match encode(&reply) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(e) => {
            log::warn!(target: "reach", "reach reply could not be sent. error=\"{e}\"");
            local_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
        }
    }
}

/// Returns whether this daemon reaches an upstream. It always tries to connect: what the upstream sent
/// a moment ago may precede its crash, and the query may be about that crash.
async fn reaches(gateway: &Gateway, id: UpstreamId) -> bool {
    if gateway.is_stopping() || gateway.path_to(&id) != LinkPath::Direct {
        return false;
    }
    match ready_upstream(gateway, &id) {
        Some(upstream) => gateway.probe_link(&upstream).await,
        None => false,
    }
}

fn ready_upstream(gateway: &Gateway, id: &UpstreamId) -> Option<Arc<Upstream>> {
    let directory = gateway.directory.read();
    directory.get(id).filter(|u| !u.draining).cloned()
}
