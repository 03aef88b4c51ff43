use {
    super::relay_headers::*,
    crate::{
        gateway::{
            AnswerBody, BufferedBytes, ConnectionCloser, Gateway, RELAYED_FOR_OTHERS, RelayGuard,
            local_response, relayed, strip_connection_headers,
        },
        names::UpstreamId,
        policy::{HeldFor, LinkPath},
        upstreams::{Endpoint, OpenAnswer, SendFailure, Upstream, ends_with_connection},
    },
    futures_util::stream,
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited, StreamBody},
    hyper::body::{Body, Frame, Incoming},
    std::{io, sync::Arc, time::Duration},
};

/// Maximum number of requests that are relayed at a time. Others are to be relayed elsewhere, so that
/// they don't take the memory and the descriptors that the own clients need.
const MAX_RELAYED: usize = 256;

/// Returns whether another daemon sent a request to have it passed on to an upstream.
pub(in crate::cluster) fn is_relayed(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(RELAY_TO)
}

/// Passes another daemon's request on to an upstream, and its response back.
///
/// The other daemon has admitted, placed and counted the request, and decides on further attempts.
/// A request is passed on over a connection of this daemon only, never through a third one.
pub(in crate::cluster) async fn relay(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let outcome = match RelayGuard::open(&gateway, MAX_RELAYED) {
        Some(guard) => pass_on(&gateway, request, guard).await,
        None => Err(SendFailure::NotSent("too many requests are relayed".into())),
    };
    let label = outcome.as_ref().map_or_else(SendFailure::kind, |_| "sent");
    metrics::counter!(RELAYED_FOR_OTHERS, "outcome" => label).increment(1);
    outcome.unwrap_or_else(|failure| failed(&failure))
}

async fn pass_on(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    guard: RelayGuard,
) -> Result<Response<AnswerBody>, SendFailure> {
    let (mut head, body) = request.into_parts();
    let upstream = check(gateway, &head.headers)?;
    let max_idle = number(&head.headers, &RELAY_MAX_IDLE).unwrap_or(0);
    let max_bytes = gateway.client_limits().max_body_bytes;
    let buffered = reserve(gateway, &body)?;
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|e| SendFailure::NotSent(e.to_string()))?;
    let endpoint = Endpoint::Upstream(upstream.id.clone());
    let connection = match gateway
        .pool
        .take(&endpoint, Duration::from_millis(max_idle))
    {
        Some(connection) => connection,
        None => gateway.connect_directly(&upstream).await?,
    };
    // The upstream may have begun to leave while the body was read.
    check(gateway, &head.headers)?;
    strip_connection_headers(&mut head.headers);
    for name in [RELAY_TO, RELAY_MAX_IDLE, header::CONTENT_LENGTH] {
        head.headers.remove(name);
    }
    let headers = head.headers.clone();
    let request = Request::from_parts(head, Full::new(body.to_bytes()));
    let answer = OpenAnswer::open(&gateway.pool, endpoint, connection, request).await?;
    // The other daemon checks it, too, but can't keep this connection from being used again.
    gateway.check_owner(&headers, &upstream.id, &answer.head)?;
    drop(buffered);
    Ok(pass_back(answer, guard))
}

/// Returns the upstream that a request is for, if it may be sent there now.
fn check(gateway: &Gateway, headers: &HeaderMap) -> Result<Arc<Upstream>, SendFailure> {
    let not_sent = |cause: &str| SendFailure::NotSent(cause.into());
    let id = headers.get(RELAY_TO).and_then(|v| v.to_str().ok());
    let id = UpstreamId::from(id.ok_or_else(|| not_sent("no upstream is named"))?);
    let wait_ms = number(headers, &gateway.names.deadline_ms).unwrap_or(0);
    if !gateway.accepts_request(wait_ms) {
        return Err(not_sent("the relay stops"));
    }
    if gateway.path_to(&id) != LinkPath::Direct {
        return Err(not_sent("the relay does not reach the upstream itself"));
    }
    let directory = gateway.directory.read();
    let upstream = directory.get(&id).filter(|u| !u.draining).cloned();
    upstream.ok_or_else(|| not_sent("the upstream is leaving or not known"))
}

/// Counts the bytes of a body in the budget of buffers, if there is one.
fn reserve(gateway: &Arc<Gateway>, body: &Incoming) -> Result<Option<BufferedBytes>, SendFailure> {
    let buffered = BufferedBytes::open(gateway, HeldFor::Request, &ConnectionCloser::default());
    let bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    match buffered.as_ref().is_none_or(|buffered| buffered.add(bytes)) {
        true => Ok(buffered),
        false => Err(SendFailure::NotSent("the relay has no free memory".into())),
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn pass_back(answer: OpenAnswer, guard: RelayGuard) -> Response<AnswerBody> {
    let mut head = answer.head.clone();
    for name in [RELAY_FAILURE, RELAY_UNFRAMED] {
        head.headers.remove(name);
    }
    if ends_with_connection(&head) {
        let value = HeaderValue::from_static("1");
        head.headers.insert(RELAY_UNFRAMED, value);
    }
    let chunks = stream::unfold(Some((answer, guard)), |state| async move {
        let (mut answer, guard) = state?;
        match answer.next_chunk().await? {
            Ok(chunk) => Some((Ok(Frame::data(chunk)), Some((answer, guard)))),
            // The error closes the connection, so that the response does not look complete.
            Err(failure) => Some((Err(io::Error::other(failure)), None)),
        }
    });
    relayed(head, StreamBody::new(chunks).boxed_unsync())
}

fn failed(failure: &SendFailure) -> Response<AnswerBody> {
    let (kind, cause) = match failure {
        SendFailure::NotSent(cause) => (NOT_SENT, cause.clone()),
        SendFailure::CutOff(cause) => (CUT_OFF, cause.clone()),
        other => (MAY_HAVE_RUN, other.to_string()),
    };
    let mut answer = local_response(StatusCode::BAD_GATEWAY, &cause);
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(RELAY_FAILURE, kind);
    answer
}
