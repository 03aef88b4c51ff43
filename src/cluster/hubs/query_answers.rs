use {
    crate::{cluster::*, gateway::Gateway},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval at which a hub checks whether the daemon of a held request still waits.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Answers an admission query of a daemon that reports to this one. The answer is sent at once, or
/// later if the request is held or a permit has to be requested.
pub(in crate::cluster) async fn answer_query(
    gateway: &Arc<Gateway>,
    query: AdmissionQuery,
    terms: QueryTerms,
    from: SocketAddr,
) {
    let now_ms = gateway.steady_ms();
    let known = gateway.members.lock().known_answer(&query, now_ms);
    let decision = match known {
        Some(decision) => decision,
        None => {
            // Daemons repeat the queries of held requests if the queue for room is on. Those of earlier
            // builds do not, and state no urgency.
            let is_repeated = terms.urgency.is_some() && gateway.settings.mechanisms.room_queue;
            let mut pending = Box::pin(decide(gateway.clone(), query.clone(), terms));
            match futures_util::poll!(pending.as_mut()) {
                std::task::Poll::Ready(decision) => decision,
                std::task::Poll::Pending => {
                    // The task ends when the request has been held for its longest time.
                    let later =
                        answer_later(gateway.clone(), query.clone(), is_repeated, pending, from);
                    tokio::spawn(later);
                    HubDecision::Held
                }
            }
        }
    };
    answer(gateway, &query, decision, from).await;
}

/// Sends the answer once the decision is made. If the daemon repeats the query of a held request
/// (`is_repeated`), gives up when the repetitions end.
async fn answer_later(
    gateway: Arc<Gateway>,
    query: AdmissionQuery,
    is_repeated: bool,
    mut pending: std::pin::Pin<Box<impl Future<Output = HubDecision> + Send>>,
    to: SocketAddr,
) {
    let decision = loop {
        match tokio::time::timeout(HELD_CHECK_INTERVAL, pending.as_mut()).await {
            Ok(decision) => break decision,
            Err(_) if !is_repeated => {}
            Err(_) => {
                let now_ms = gateway.steady_ms();
                if !gateway.members.lock().awaits_decision(&query, now_ms) {
                    // The client or the daemon is gone. Dropping `pending` frees the place in the queue.
                    return;
                }
            }
        }
    };
    answer(&gateway, &query, decision, to).await;
}

async fn answer(gateway: &Gateway, query: &AdmissionQuery, decision: HubDecision, to: SocketAddr) {
    let now_ms = gateway.steady_ms();
    gateway
        .members
        .lock()
        .record_answer(query, &decision, now_ms);
    let answer = Answer {
        id: query.id,
        incarnation: query.incarnation,
        decision,
    };
    // Requests that this daemon places have a permit where the upstream needs one.
    let packet = Packet::from(Datagram::Answer(answer)).with(Extension::HasPermit);
    gateway.send_packet(&packet, to).await;
}

/// Admits and places a request for another daemon. Owns its arguments, so that it can continue in a
/// task of its own.
async fn decide(gateway: Arc<Gateway>, query: AdmissionQuery, terms: QueryTerms) -> HubDecision {
    gateway.decide_query(&query, terms).await
}
