use {
    crate::{
        cluster::{FeedError, decode, encode},
        gateway::{AnswerBody, Gateway, full_body, local_response},
        http::{HttpClient, HttpError},
    },
    bytes::Bytes,
    http::{Response, StatusCode},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Path at which a daemon asks another one for further daemons that may reach upstreams. The number is
/// the protocol version.
pub(in crate::cluster) const FURTHER_DAEMONS_PATH: &str = "/cluster/reach/further/1";
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Further daemons that may reach upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct FurtherDaemons {
    addresses: Vec<SocketAddr>,
}

/// Asks a daemon for others that may reach upstreams: a member knows hubs only, and these know their
/// members.
///
/// # Errors
///
/// Returns how the call failed. A daemon of an earlier build answers with status 404.
pub(super) async fn query_further_daemons(
    client: &HttpClient,
    daemon: SocketAddr,
) -> Result<Vec<SocketAddr>, HttpError> {
    let malformed = |e: FeedError| HttpError::Malformed(e.to_string());
    let reply = client
        .post(daemon, FURTHER_DAEMONS_PATH, Bytes::new(), ANSWER_TIMEOUT)
        .await?;
    let further: FurtherDaemons = decode(&reply).map_err(malformed)?;
    Ok(further.addresses)
}

/// Answers a daemon's query for further daemons.
pub(in crate::cluster) fn answer_further_daemons(gateway: &Gateway) -> Response<AnswerBody> {
    let further = FurtherDaemons {
        addresses: gateway.further_daemons(),
    };
    match encode(&further) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(e) => {
            log::warn!(target: "reach", "further daemons could not be named. error=\"{e}\"");
            local_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
        }
    }
}
