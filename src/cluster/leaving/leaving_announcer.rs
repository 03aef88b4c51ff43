use {
    crate::{cluster::*, gateway::Gateway, names::UpstreamId},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// The interval of announcements. An upstream that says to one daemon that it leaves is known to
/// all after a few of these intervals: the daemon notifies its hubs, these the other hubs, and each
/// hub the daemons that report to it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// The most upstreams in one announcement: as many as fit into one datagram. Announcements are sent
/// only while upstreams leave.
const MAX_ANNOUNCED: usize = 64;

/// Announces upstreams whose answers say that they leave. Each answer reaches only one daemon.
/// Without announcements the others would send requests until the shared source lists the upstream
/// as leaving, and the upstream would end while it runs them.
pub(in crate::cluster) async fn announce_leaving(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        if gateway.leaving_queue.lock().is_empty() {
            continue;
        }
        let (hubs, members) = gateway.hubs_and_members();
        let announced = gateway.leaving_queue.lock().to_announce(MAX_ANNOUNCED);
        let is_hub = gateway.is_hub();
        send_leaving(&gateway, &announced.hubs, is_hub, &hubs).await;
        send_leaving(&gateway, &announced.members, is_hub, &members).await;
    }
}

async fn send_leaving(
    gateway: &Gateway,
    upstreams: &[UpstreamId],
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    for upstreams in split_into_parts(upstreams.iter().map(ToString::to_string).collect()) {
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

/// Applies another daemon's announcement of leaving upstreams.
pub(in crate::cluster) fn apply_leaving(gateway: &Arc<Gateway>, part: &LeavingPart) {
    // A hub forwards the announcement: from another hub to the daemons that report to it, from
    // any other daemon to hubs as well.
    let forwards_to_hubs = gateway.is_hub().then_some(!part.among_hubs);
    for name in &part.upstreams {
        gateway.mark_leaving(&UpstreamId::from(name.as_str()), forwards_to_hubs);
    }
}
