use {
    super::relay_headers::*,
    crate::{
        gateway::{Gateway, RELAYED_REQUESTS},
        names::UpstreamId,
        upstreams::{
            Endpoint, EndsWithConnection, OpenAnswer, SendFailure, UpstreamConnection, UpstreamPool,
        },
    },
    bytes::Bytes,
    http::{HeaderValue, Request},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Number of daemons that are tried for a request: the first may have gone a moment ago.
const MAX_TRIED_RELAYS: usize = 2;
/// Maximum idle time of a connection to another daemon that is used again. It is well below the time
/// after which that daemon closes it.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Maximum size of the cause of a failure that is read, in bytes.
const MAX_CAUSE_BYTES: usize = 512;

/// A request that is to be sent to an upstream through another daemon.
#[derive(Debug)]
pub(crate) struct RelayedRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The request, as the upstream is to receive it.
    pub request: Request<Full<Bytes>>,
    /// Maximum idle time of the connection between the other daemon and the upstream.
    pub max_idle: Duration,
    /// Timeout for opening a connection to the other daemon.
    pub connect_timeout: Duration,
}

/// Sends a request to an upstream through one of the given daemons, and waits for the head of the
/// response. Another one is tried only if the request was not sent.
///
/// # Errors
///
/// Returns how the send failed, as if the request had been sent over a connection of this daemon.
pub(crate) async fn send_through(
    gateway: &Gateway,
    relays: &[SocketAddr],
    mut sent: RelayedRequest,
) -> Result<OpenAnswer, SendFailure> {
    let headers = sent.request.headers_mut();
    let to = HeaderValue::from_str(sent.upstream.as_str());
    headers.insert(
        RELAY_TO,
        to.map_err(|e| SendFailure::NotSent(e.to_string()))?,
    );
    let max_idle_ms = sent.max_idle.as_millis() as u64;
    headers.insert(RELAY_MAX_IDLE, HeaderValue::from(max_idle_ms));
    let mut failure = SendFailure::NotSent("no daemon reaches the upstream".into());
    for relay in gateway.random_sample(relays.to_vec(), MAX_TRIED_RELAYS) {
        let outcome = send_to(gateway, relay, &sent).await;
        let label = outcome.as_ref().map_or_else(SendFailure::kind, |_| "sent");
        metrics::counter!(RELAYED_REQUESTS, "outcome" => label).increment(1);
        failure = match outcome {
            Err(failed @ SendFailure::NotSent(_)) => failed,
            other => return other,
        };
        gateway.record_relay_failed(relay);
    }
    Err(failure)
}

async fn send_to(
    gateway: &Gateway,
    relay: SocketAddr,
    sent: &RelayedRequest,
) -> Result<OpenAnswer, SendFailure> {
    let endpoint = Endpoint::Daemon(relay);
    let connection = connect(gateway, relay, &endpoint, sent.connect_timeout).await?;
    let request = sent.request.clone();
    let mut answer = OpenAnswer::open(&gateway.pool, endpoint, connection, request).await?;
    if answer.head.headers.remove(RELAY_UNFRAMED).is_some() {
        answer.head.extensions.insert(EndsWithConnection);
    }
    match answer.head.headers.get(RELAY_FAILURE).cloned() {
        None => Ok(answer),
        Some(kind) => Err(read_failure(answer, &kind).await),
    }
}

async fn connect(
    gateway: &Gateway,
    relay: SocketAddr,
    endpoint: &Endpoint,
    timeout: Duration,
) -> Result<UpstreamConnection, SendFailure> {
    match gateway.pool.take(endpoint, MAX_IDLE) {
        Some(connection) => Ok(connection),
        None => UpstreamPool::connect(relay, timeout).await,
    }
}

/// Returns the failure that a relay reports.
async fn read_failure(mut answer: OpenAnswer, kind: &HeaderValue) -> SendFailure {
    let mut cause = Vec::new();
    while let Some(Ok(chunk)) = answer.next_chunk().await {
        cause.extend_from_slice(&chunk);
        if cause.len() > MAX_CAUSE_BYTES {
            break;
        }
    }
    let cause = String::from_utf8_lossy(&cause).trim_end().to_string();
    match kind.as_bytes() {
        kind if kind == NOT_SENT.as_bytes() => SendFailure::NotSent(cause),
        kind if kind == CUT_OFF.as_bytes() => SendFailure::CutOff(cause),
        _ => SendFailure::MayHaveRun(cause),
    }
}
