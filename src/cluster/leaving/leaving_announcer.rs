use {
    crate::{cluster::*, gateway::Gateway, names::UpstreamId},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// How often news are told. What a daemon hears binds all after some of these: it tells its
/// hubs, these the other hubs, these those that report to them.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// How many upstreams are told at a time: one datagram full, and only while upstreams leave.
const MOST_TOLD: usize = 64;

/// Tells other daemons of upstreams whose answers say that they leave. Each answer tells one
/// daemon; without this the others send on for as long as the source says nothing, and what
/// they send meets the upstream's end.
pub(in crate::cluster) async fn announce_leaving(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(TELL_EVERY).await;
        if gateway.leaving_queue.lock().is_empty() {
            continue;
        }
        let (hubs, members) = gateway.hubs_and_members();
        let told = gateway.leaving_queue.lock().to_announce(MOST_TOLD);
        let is_hub = gateway.is_hub();
        send_leaving(&gateway, &told.hubs, is_hub, &hubs).await;
        send_leaving(&gateway, &told.members, is_hub, &members).await;
    }
}

async fn send_leaving(
    gateway: &Gateway,
    upstreams: &[UpstreamId],
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    for upstreams in in_parts(upstreams.iter().map(ToString::to_string).collect()) {
        if upstreams.is_empty() {
            continue;
        }
        let part = LeavingPart {
            among_hubs,
            upstreams,
        };
        let packet = Packet::from(Extension::Leaving(part));
        for address in to {
            gateway.send_packet(&packet, *address).await;
        }
    }
}

/// Takes in what another daemon told of upstreams that leave.
pub(in crate::cluster) fn apply_leaving(gateway: &Arc<Gateway>, part: &LeavingPart) {
    // A hub passes on what it hears: of hubs to those that report to it, of others to all.
    let passes_on = gateway.is_hub().then_some(!part.among_hubs);
    for name in &part.upstreams {
        gateway.mark_leaving(&UpstreamId::from(name.as_str()), passes_on);
    }
}
