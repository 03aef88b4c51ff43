use {
    super::{
        intake::{closing_response, set_connection_close},
        *,
    },
    crate::{clock::timeout, http::RequestBody, policy::HeldFor, routing::ClientLimits},
    bytes::{Bytes, BytesMut},
    http::{Response, StatusCode},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Body,
    std::{error::Error, sync::Arc, time::Duration},
};

/// `Retry-After` of a request for whose body there is no free memory: about as long as other requests
/// run.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A complete body, and its bytes as counted in the budget of buffers.
type ReceivedBody = (Bytes, Option<BufferedBytes>);

/// Why a body was not read to its end.
enum BodyError {
    /// There is no free memory for it.
    NoMemory,
    /// The connection failed, or the body is too large.
    Receive(Box<dyn Error + Send + Sync>),
}

/// Reads the body of a request.
///
/// # Errors
///
/// Returns the answer to the client if the body is too large, does not arrive, or there is no free
/// memory for it. The
/// request has not been sent to any upstream.
pub(super) async fn receive_body(
    gateway: &Arc<Gateway>,
    limits: &ClientLimits,
    body: RequestBody,
    client: &ConnectionCloser,
) -> Result<ReceivedBody, Box<Response<AnswerBody>>> {
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > limits.max_body_bytes as u64 {
        let detail = "the body is too large";
        return Err(closing_response(StatusCode::PAYLOAD_TOO_LARGE, detail));
    }
    let buffered = BufferedBytes::open(gateway, HeldFor::Request, client);
    if let Some(buffers) = &gateway.buffers
        && !buffers.has_room_for(announced_bytes, gateway.steady_ms())
    {
        // The client may wait for `100 Continue` before it sends the body.
        let mut answer = refuse_unbuffered();
        set_connection_close(&mut answer);
        return Err(answer);
    }
    let max_wait = Duration::from_millis(limits.body_timeout_ms);
    let body = Limited::new(body, limits.max_body_bytes);
    match timeout(max_wait, read_buffered(body, buffered.as_ref())).await {
        Ok(Ok(body)) => Ok((body, buffered)),
        Ok(Err(BodyError::NoMemory)) => Err(refuse_unbuffered()),
        Ok(Err(BodyError::Receive(e))) if e.is::<LengthLimitError>() => Err(closing_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(BodyError::Receive(_))) => Err(closing_response(
            StatusCode::BAD_REQUEST,
            "the body was cut off",
        )),
        Err(_) => Err(closing_response(
            StatusCode::REQUEST_TIMEOUT,
            "the body took too long",
        )),
    }
}

/// Reads the body of a request. One that arrives in a single chunk is not copied.
async fn read_buffered(
    mut body: Limited<RequestBody>,
    buffered: Option<&BufferedBytes>,
) -> Result<Bytes, BodyError> {
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(BodyError::Receive)?.into_data() else {
            continue;
        };
        if buffered.is_some_and(|buffered| !buffered.add(chunk.len())) {
            return Err(BodyError::NoMemory);
        }
        if first.is_empty() && whole.is_empty() {
            first = chunk;
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&chunk);
    }
    match whole.is_empty() {
        true => Ok(first),
        false => Ok(whole.freeze()),
    }
}

/// Refuses a request for whose body there is no free memory. It has not run.
fn refuse_unbuffered() -> Box<Response<AnswerBody>> {
    metrics::counter!(UNBUFFERED_REQUESTS).increment(1);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let detail = "no room for the request's body";
    Box::new(refusal(status, detail, NO_MEMORY_RETRY_AFTER))
}
