use {
    crate::{
        cluster::{Extension, SlotAnswer, SlotQuery, SlotReleases},
        gateway::Gateway,
        names::UpstreamId,
        policy::RejectionBound,
    },
    std::net::SocketAddr,
};

/// Answers a daemon's query for a slot.
pub(in crate::cluster) async fn answer_slot_query(
    gateway: &Gateway,
    query: &SlotQuery,
    from: SocketAddr,
) {
    let id = UpstreamId::from(query.upstream.as_str());
    let bound = RejectionBound::new(query.bound);
    let granted = gateway.grant_slot(&id, bound, u64::from(query.max_ms));
    let answer = SlotAnswer {
        incarnation: query.incarnation,
        id: query.id,
        issuer: gateway.incarnation,
        slot: granted.ok(),
    };
    let answer = Extension::SlotAnswer(answer);
    gateway.send_packet(&answer.into(), from).await;
}

/// Applies the slots that a daemon releases. Those of an earlier incarnation of this daemon are ignored.
pub(in crate::cluster) fn apply_slot_releases(gateway: &Gateway, releases: &SlotReleases) {
    let own = releases
        .slots
        .iter()
        .filter(|slot| slot.issuer == gateway.incarnation);
    for slot in own {
        let id = UpstreamId::from(slot.upstream.as_str());
        gateway.take_back_slot(&id, slot.slot, slot.release());
    }
}
