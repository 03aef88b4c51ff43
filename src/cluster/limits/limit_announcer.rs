use {
    crate::{cluster::*, gateway::Gateway, policy::KnownLimit},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// How often news of limits are told. What a daemon hears binds all after some of these: it
/// tells its hubs, these the other hubs, these those that report to them.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// How many limits are told at a time: one datagram full, or 5 KB/s to each that is told,
/// and only while limits change.
const MOST_TOLD: usize = 24;
/// After how many of these times a hub tells other hubs of limits in force, news or not:
/// some were cut off, or were not there.
const IN_FORCE_EVERY: u64 = 3;
/// How many hubs are told then, drawn anew each time.
const HUBS_TOLD: usize = 3;

/// Tells other daemons of limits that upstreams name.
pub(in crate::cluster) async fn announce_limits(gateway: Arc<Gateway>) {
    for turn in 1_u64.. {
        tokio::time::sleep(TELL_EVERY).await;
        if gateway.tick_limits() == 0 {
            continue;
        }
        announce_changes(&gateway).await;
        if turn.is_multiple_of(IN_FORCE_EVERY) && gateway.is_hub() {
            let hubs = gateway.other_hubs().into_iter().collect();
            let drawn = gateway.random_sample(hubs, HUBS_TOLD).into_iter().collect();
            announce_in_force(&gateway, &drawn).await;
        }
    }
}

async fn announce_changes(gateway: &Gateway) {
    let (hubs, members) = gateway.hubs_and_members();
    if hubs.is_empty() && members.is_empty() {
        return;
    }
    let now_ms = gateway.steady_ms();
    let told = gateway.limits.lock().to_announce(MOST_TOLD, now_ms);
    let is_hub = gateway.is_hub();
    send_limits(gateway, &told.hubs, is_hub, &hubs).await;
    send_limits(gateway, &told.members, is_hub, &members).await;
}

/// Tells daemons of limits in force, some of them where there are many.
pub(in crate::cluster) async fn announce_in_force(gateway: &Gateway, to: &BTreeSet<SocketAddr>) {
    let in_force = gateway.limits.lock().in_force(gateway.steady_ms());
    if !in_force.is_empty() {
        let drawn = gateway.random_sample(in_force, MOST_TOLD);
        send_limits(gateway, &drawn, true, to).await;
    }
}

async fn send_limits(
    gateway: &Gateway,
    limits: &[KnownLimit],
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    for limits in in_parts(limits.iter().map(AnnouncedLimit::of).collect()) {
        if limits.is_empty() {
            continue;
        }
        let packet = Packet::from(Extension::Limits(LimitsPart { among_hubs, limits }));
        for address in to {
            gateway.send_packet(&packet, *address).await;
        }
    }
}
