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

/// The largest answer that is read whole before it is passed on, in bytes.
const MAX_WHOLE_ANSWER: usize = 16 * 1024 * 1024;
/// After how many times the wanted latency a repeatable request that has no
/// answer is sent elsewhere.
const SLOW_FACTOR: u32 = 2;
const MIN_PATIENCE: Duration = Duration::from_millis(150);

/// Forwards a request whose answer is passed on once it is whole.
pub async fn forward_whole(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    let forward = try_upstreams(gateway, context, &mut attempts);
    let answer = timeout_at(context.give_up_at, forward).await;
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
        let failure = match send_in_time(gateway, context, &placement, attempts).await {
            Ok((head, body)) => {
                let failed = head.status.is_server_error();
                gateway.record_outcome(&upstream.id, failed);
                let time_ms = sent.elapsed().as_secs_f64() * 1_000.0;
                gateway.record_answer(context, upstream, (!failed).then_some(time_ms));
                let retry = failed && context.route.is_retryable();
                let failure = SendFailure::MayHaveRun(head.status.to_string());
                if retry && attempts.may_go_on(gateway, context, &upstream.id, failure) {
                    continue;
                }
                if !speaks_for_itself(head.status) {
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
        if !attempts.may_go_on(gateway, context, &upstream.id, failure) {
            return None;
        }
    }
}

/// Sends a request and reads its whole answer. One that may be repeated is
/// taken back when it is slow, if it could go elsewhere.
async fn send_in_time(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    placement: &Placement,
    attempts: &Attempts,
) -> Result<(Parts, Bytes), SendFailure> {
    let whole = async {
        let mut sent = send(gateway, context, placement, None).await?;
        let body = sent.answer.read_all(MAX_WHOLE_ANSWER).await?;
        sent.active.ended_whole();
        Ok((sent.answer.head.clone(), body))
    };
    let last = attempts.sends + 1 >= context.route.max_attempts;
    if last || !context.route.is_retryable() {
        return whole.await;
    }
    let max_wait = (context.target_latency() * SLOW_FACTOR).max(MIN_PATIENCE);
    let answer = timeout(max_wait, whole).await;
    answer.unwrap_or_else(|_| Err(SendFailure::MayHaveRun("no answer in time".into())))
}

/// Returns whether a status can be passed on as it is: these promise that a
/// request has not run, which only the upstream's own header may say.
pub(super) fn speaks_for_itself(status: StatusCode) -> bool {
    !matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
