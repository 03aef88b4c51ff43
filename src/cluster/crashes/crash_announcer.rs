use {
    super::{announce_held_parts, announce_part_changes},
    crate::{cluster::*, gateway::Gateway, policy::KnownCrash},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval between announcements of crashes. A crash that a daemon sees reaches all
/// daemons after a few of these: first its hubs, then the other hubs, then the daemons
/// that report to them.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of crashes per announcement. They fill one datagram, which is 5 KB/s to
/// each receiver, and only while upstreams crash.
const MAX_ANNOUNCED: usize = 24;
/// Number of announcement intervals after which a hub announces the crashes of quarantined
/// requests to other hubs again, even if nothing changed: some hubs may have been
/// partitioned or not yet running when the crashes were first announced.
const HELD_ANNOUNCE_TICKS: u64 = 3;
/// Number of hubs that receive such an announcement, chosen at random each time. With three
/// receivers per hub, all of 45 hubs have received it after four rounds in most cases.
const HELD_ANNOUNCE_FANOUT: usize = 3;

/// Announces crashes of upstreams under requests to other daemons.
pub(in crate::cluster) async fn announce_crashes(gateway: Arc<Gateway>) {
    for tick in 1_u64.. {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        gateway.tick_crashes();
        gateway.tick_part_crashes();
        if gateway.crashes.lock().is_empty() && gateway.part_crashes.lock().is_empty() {
            continue;
        }
        announce_changes(&gateway).await;
        announce_part_changes(&gateway).await;
        if tick.is_multiple_of(HELD_ANNOUNCE_TICKS) && gateway.is_hub() {
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
    let due = gateway.crashes.lock().to_announce(MAX_ANNOUNCED, now_ms);
    let is_hub = gateway.is_hub();
    send_crashes(gateway, &due.hubs, is_hub, &hubs).await;
    send_crashes(gateway, &due.members, is_hub, &members).await;
}

async fn announce_held(gateway: &Gateway) {
    let hubs = gateway.other_hubs().into_iter().collect();
    let drawn = gateway.random_sample(hubs, HELD_ANNOUNCE_FANOUT);
    let now_ms = gateway.steady_ms();
    let held = gateway.crashes.lock().held_crashes(MAX_ANNOUNCED, now_ms);
    let drawn = drawn.into_iter().collect();
    send_crashes(gateway, &held, true, &drawn).await;
    announce_held_parts(gateway, &drawn).await;
}

/// Sends the crashes of quarantined requests and parts to a daemon that reports to this one.
pub(in crate::cluster) async fn announce_held_to(gateway: &Gateway, member: SocketAddr) {
    let now_ms = gateway.steady_ms();
    let held = gateway.crashes.lock().held_crashes(MAX_ANNOUNCED, now_ms);
    let member = BTreeSet::from([member]);
    send_crashes(gateway, &held, true, &member).await;
    announce_held_parts(gateway, &member).await;
}

async fn send_crashes(
    gateway: &Gateway,
    crashes: &[KnownCrash],
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    for ends in split_into_parts(crashes.iter().map(AnnouncedCrash::of).collect()) {
        if ends.is_empty() {
            continue;
        }
        let part = Datagram::Crashes(CrashesPart { among_hubs, ends });
        for address in to {
            gateway.send_datagram(&part, *address).await;
        }
    }
}
