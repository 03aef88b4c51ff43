use {
    crate::{cluster::*, gateway::Gateway, policy::PartNotices},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Maximum number of parts at crashes in an announcement, and of survivals. They fill one datagram in most cases, and only
/// while upstreams crash.
const MAX_ANNOUNCED: usize = 24;

/// Announces parts at crashes that are new or were cleared.
pub(super) async fn announce_part_changes(gateway: &Gateway) {
    if gateway.part_crashes.lock().is_empty() {
        return;
    }
    let (hubs, members) = gateway.hubs_and_members();
    if hubs.is_empty() && members.is_empty() {
        return;
    }
    let now_ms = gateway.steady_ms();
    let due = gateway
        .part_crashes
        .lock()
        .to_announce(MAX_ANNOUNCED, now_ms);
    let is_hub = gateway.is_hub();
    send_notices(gateway, &due.hubs, is_hub, &hubs).await;
    send_notices(gateway, &due.members, is_hub, &members).await;
}

/// Announces the crashes of the parts that are held back.
pub(super) async fn announce_held_parts(gateway: &Gateway, to: &BTreeSet<SocketAddr>) {
    let now_ms = gateway.steady_ms();
    let held = gateway
        .part_crashes
        .lock()
        .held_crashes(MAX_ANNOUNCED, now_ms);
    let notices = PartNotices {
        crashes: held,
        survivals: Vec::new(),
    };
    send_notices(gateway, &notices, true, to).await;
}

async fn send_notices(
    gateway: &Gateway,
    notices: &PartNotices,
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    let crashes = notices.crashes.iter().map(AnnouncedPartCrash::of);
    let survivals = notices.survivals.iter().map(AnnouncedSurvival::of);
    let with_crashes = split_into_parts(crashes.collect())
        .into_iter()
        .map(|crashes| PartCrashesPart {
            among_hubs,
            crashes,
            survivals: Vec::new(),
        });
    let with_survivals = split_into_parts(survivals.collect())
        .into_iter()
        .map(|survivals| PartCrashesPart {
            among_hubs,
            crashes: Vec::new(),
            survivals,
        });
    for part in with_crashes.chain(with_survivals) {
        if part.crashes.is_empty() && part.survivals.is_empty() {
            continue;
        }
        let packet = Packet::from(Extension::PartCrashes(part));
        for address in to {
            gateway.send_packet(&packet, *address).await;
        }
    }
}
