use {
    super::{attempts::Attempts, send::*, *},
    crate::{
        clock::{BootInstant, timeout, timeout_at},
        policy::HeldFor,
        upstreams::*,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Response, StatusCode, header, response::Parts},
    http_body_util::BodyExt,
    std::{sync::Arc, time::Duration},
};

/// Maximum size of a response that is buffered completely before it is relayed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which an answer is handed to its connection in one piece, in bytes: the connection's send
/// buffer has space for it even if the client does not read.
const MAX_WRITTEN_BYTES: usize = 32 * 1024;
/// Multiple of the target latency after which an unanswered repeatable request is sent to
/// another upstream.
const TIMEOUT_FACTOR: u32 = 2;
/// Lower bound of that timeout.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Forwards a request whose response is relayed once it is complete.
pub async fn forward_buffered(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    let forward = try_upstreams(gateway, context, &mut attempts);
    let answer = timeout_at(context.deadline, forward).await;
    match answer {
        Ok(Some((head, body, buffered))) => relayed_buffered(head, body, buffered),
        Ok(None) => gateway.give_up(context, &attempts, false),
        Err(_) => gateway.give_up(context, &attempts, true),
    }
}

async fn try_upstreams(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempts: &mut Attempts,
) -> Option<(Parts, Bytes, Option<BufferedBytes>)> {
    loop {
        let placement = attempts.place(gateway, context).await?;
        let upstream = &placement.upstream;
        let sent = BootInstant::now();
        let failure = match send_with_timeout(gateway, context, &placement, attempts).await {
            Ok((head, body, buffered)) => {
                let failed = head.status.is_server_error();
                gateway.record_outcome(&upstream.id, failed);
                let time_ms = sent.elapsed().as_secs_f64() * 1_000.0;
                gateway.record_answer(context, upstream, (!failed).then_some(time_ms));
                let retry = failed && context.route.is_retryable();
                let failure = SendFailure::MayHaveRun(head.status.to_string());
                if retry && attempts.may_retry_after(gateway, context, &upstream.id, failure) {
                    continue;
                }
                if !may_relay_status(head.status) {
                    attempts.may_have_run = true;
                    return None;
                }
                gateway.record_run(context);
                gateway.record_complete_answer(context, &upstream.id, &head);
                return Some((head, body, buffered));
            }
            Err(failure) => failure,
        };
        gateway.record_send_failure(context, upstream, &failure);
        if !attempts.may_retry_after(gateway, context, &upstream.id, failure) {
            return None;
        }
    }
}

/// Sends a request and reads its complete response. A repeatable request is cancelled after
/// a timeout if another attempt is allowed.
async fn send_with_timeout(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    placement: &Placement,
    attempts: &Attempts,
) -> Result<(Parts, Bytes, Option<BufferedBytes>), SendFailure> {
    let is_last = attempts.sends + 1 >= context.route.max_attempts;
    let max_wait = match is_last || !context.route.is_retryable() {
        true => None,
        false => Some((context.target_latency() * TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT)),
    };
    let began_at = BootInstant::now();
    let mut sent = within(max_wait, send(gateway, context, placement, None)).await?;
    let left = max_wait.map(|max_wait| max_wait.saturating_sub(began_at.elapsed()));
    // The wait for free memory does not count towards the attempt timeout.
    let buffered = BufferedBytes::open(gateway, HeldFor::Reading, &context.connection_closer);
    let length = reserve_for_answer(&sent.answer, buffered.as_ref()).await;
    let read = read_answer(
        context,
        &mut sent.answer,
        buffered.as_ref().filter(|_| length.is_none()),
    );
    let body = within(left, read).await?;
    sent.active.record_completed();
    Ok((sent.answer.head.clone(), body, buffered))
}

/// Waits for a part of an exchange, for at most `max_wait` if there is one.
async fn within<T>(
    max_wait: Option<Duration>,
    part: impl Future<Output = Result<T, SendFailure>>,
) -> Result<T, SendFailure> {
    let Some(max_wait) = max_wait else {
        return part.await;
    };
    timeout(max_wait, part).await.unwrap_or_else(|_| {
        Err(SendFailure::MayHaveRun(
            "no response within the attempt timeout".into(),
        ))
    })
}

/// Waits until there is free memory for a complete response of known length. Responses that were read
/// in part before they wait could wait for each other forever. Returns the length, if it is known.
async fn reserve_for_answer(
    answer: &OpenAnswer,
    buffered: Option<&BufferedBytes>,
) -> Option<usize> {
    let length = answer.head.headers.get(header::CONTENT_LENGTH)?;
    let length = length.to_str().ok()?.parse().ok()?;
    if let Some(buffered) = buffered {
        buffered.add_when_free(MAX_ANSWER_BYTES.min(length)).await;
    }
    Some(length)
}

/// Reads the full body of a response, up to `MAX_ANSWER_BYTES`. If `buffered` is given, each chunk waits
/// for free memory.
async fn read_answer(
    context: &RequestContext,
    answer: &mut OpenAnswer,
    buffered: Option<&BufferedBytes>,
) -> Result<Bytes, SendFailure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.next_chunk().await {
        let chunk = chunk?;
        context.record_answering();
        if let Some(buffered) = buffered {
            buffered.add_when_free(chunk.len()).await;
        }
        body.extend_from_slice(&chunk);
        if body.len() > MAX_ANSWER_BYTES {
            let cause = "the response body is too large";
            return Err(SendFailure::MayHaveRun(cause.into()));
        }
    }
    Ok(body.freeze())
}

/// Relays a complete answer. One that a connection can't take at once counts as buffered until its
/// client has taken it.
fn relayed_buffered(
    mut head: Parts,
    body: Bytes,
    buffered: Option<BufferedBytes>,
) -> Response<AnswerBody> {
    let Some(buffered) = buffered.filter(|_| body.len() > MAX_WRITTEN_BYTES) else {
        return relayed(head, full_body(body));
    };
    head.headers
        .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    buffered.record_progress();
    let body = chunked_body(body, ()).map_frame(move |frame| {
        buffered.record_progress();
        frame
    });
    relayed(head, body.boxed_unsync())
}

/// Returns whether an upstream's status may be relayed to the client. The other statuses
/// state that the request has not run, which only the `not_run` header of the upstream may do.
pub(super) fn may_relay_status(status: StatusCode) -> bool {
    !matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
