use {
    crate::{cluster::*, gateway::Gateway, policy::KnownCrash},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// How often news of ends are told. What a daemon sees is known to all after some of these:
/// to its hubs, to the other hubs, to those that report to them.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// How many ends are told at a time: one datagram full, or 5 KB/s to each that is told, and
/// only while upstreams end.
const MOST_TOLD: usize = 24;
/// After how many of these times a hub tells other hubs of requests that are held back,
/// news or not: some were cut off, or were not there.
const HELD_EVERY: u64 = 3;
/// How many hubs are told then, drawn anew each time: with three each, all of 45 hubs have
/// heard after four times in most draws.
const HUBS_TOLD: usize = 3;

/// Tells other daemons of upstreams that end under requests.
pub(in crate::cluster) async fn announce_crashes(gateway: Arc<Gateway>) {
    for turn in 1_u64.. {
        tokio::time::sleep(TELL_EVERY).await;
        gateway.tick_crashes();
        if gateway.crashes.lock().is_empty() {
            continue;
        }
        announce_changes(&gateway).await;
        if turn.is_multiple_of(HELD_EVERY) && gateway.is_hub() {
            announce_held(&gateway).await;
        }
    }
}

async fn announce_changes(gateway: &Gateway) {
    let (hubs, members) = gateway.hubs_and_members();
    if hubs.is_empty() && members.is_empty() {
        return;
    }
    let now_ms = gateway.steady_ms();
    let told = gateway.crashes.lock().to_announce(MOST_TOLD, now_ms);
    let is_hub = gateway.is_hub();
    send_ends(gateway, &told.hubs, is_hub, &hubs).await;
    send_ends(gateway, &told.members, is_hub, &members).await;
}

async fn announce_held(gateway: &Gateway) {
    let hubs = gateway.other_hubs().into_iter().collect();
    let drawn = gateway.random_sample(hubs, HUBS_TOLD);
    let now_ms = gateway.steady_ms();
    let held = gateway.crashes.lock().held_crashes(MOST_TOLD, now_ms);
    send_ends(gateway, &held, true, &drawn.into_iter().collect()).await;
}

/// Tells a daemon that reports to this one of the requests that are held back.
pub(in crate::cluster) async fn announce_held_to(gateway: &Gateway, member: SocketAddr) {
    let now_ms = gateway.steady_ms();
    let held = gateway.crashes.lock().held_crashes(MOST_TOLD, now_ms);
    send_ends(gateway, &held, true, &BTreeSet::from([member])).await;
}

async fn send_ends(
    gateway: &Gateway,
    ends: &[KnownCrash],
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    for ends in in_parts(ends.iter().map(AnnouncedCrash::of).collect()) {
        if ends.is_empty() {
            continue;
        }
        let part = Datagram::Crashes(CrashesPart { among_hubs, ends });
        for address in to {
            gateway.send_datagram(&part, *address).await;
        }
    }
}
