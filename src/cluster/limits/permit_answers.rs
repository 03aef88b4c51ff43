use {
    crate::{cluster::*, gateway::Gateway},
    std::{net::SocketAddr, sync::Arc},
};

/// Applies limits that another daemon announced.
pub(in crate::cluster) fn apply_limits(gateway: &Gateway, part: &LimitsPart) {
    // A hub forwards what it receives from hubs to the daemons that report to it, and what it
    // receives from other daemons to all.
    let forward_to_hubs = gateway.is_hub().then_some(!part.among_hubs);
    for limit in part.limits.iter().filter_map(AnnouncedLimit::to_known) {
        gateway.apply_limit(&limit, forward_to_hubs);
    }
}

/// Answers a daemon's query for a permit. A query whose limit is invalid gets no answer.
pub(in crate::cluster) fn answer_permit_query(
    gateway: &Arc<Gateway>,
    query: PermitQuery,
    from: SocketAddr,
) {
    let Some(limit) = query.limit.to_known() else {
        return;
    };
    gateway.apply_limit(&limit, None);
    let gateway = gateway.clone();
    // The query may have to be forwarded to another daemon first. A task of its own keeps the
    // receive loop from waiting for that.
    tokio::spawn(async move {
        let id = limit.upstream;
        let taken = match query.is_forwarded {
            true => gateway.issue_permit(&id),
            false => gateway.take_permit(&id, true).await,
        };
        let known = gateway.limits.lock().known(&id, gateway.steady_ms());
        let answer = PermitAnswer {
            incarnation: query.incarnation,
            id: query.id,
            is_granted: taken.is_ok(),
            wait_ms: taken
                .err()
                .map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            limit: known.as_ref().map(AnnouncedLimit::of),
        };
        let answer = Extension::PermitAnswer(answer);
        gateway.send_packet(&answer.into(), from).await;
    });
}
