use {
    super::{attempts::Attempts, send::*, *},
    crate::{
        clock::{BootInstant, timeout, timeout_at},
        upstreams::*,
    },
    bytes::Bytes,
    http::{Response, StatusCode, response::Parts},
    std::{sync::Arc, time::Duration},
};

/// Maximum size of a response that is buffered completely before it is relayed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
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
        Ok(Some((head, body))) => relayed(head, full_body(body)),
        Ok(None) => gateway.give_up(context, &attempts, false),
        Err(_) => gateway.give_up(context, &attempts, true),
    }
}

async fn try_upstreams(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempts: &mut Attempts,
) -> Option<(Parts, Bytes)> {
    loop {
        let placement = attempts.place(gateway, context).await?;
        let upstream = &placement.upstream;
        let sent = BootInstant::now();
        let failure = match send_with_timeout(gateway, context, &placement, attempts).await {
            Ok((head, body)) => {
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
                gateway.record_complete_answer(context, head.status);
                return Some((head, body));
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
) -> Result<(Parts, Bytes), SendFailure> {
    let exchange = async {
        let mut sent = send(gateway, context, placement, None).await?;
        let body = sent.answer.read_all(MAX_ANSWER_BYTES).await?;
        sent.active.record_completed();
        Ok((sent.answer.head.clone(), body))
    };
    let last = attempts.sends + 1 >= context.route.max_attempts;
    if last || !context.route.is_retryable() {
        return exchange.await;
    }
    let max_wait = (context.target_latency() * TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT);
    let answer = timeout(max_wait, exchange).await;
    answer.unwrap_or_else(|_| {
        Err(SendFailure::MayHaveRun(
            "no response within the attempt timeout".into(),
        ))
    })
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
