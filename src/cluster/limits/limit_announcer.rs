use {
    crate::{cluster::*, gateway::Gateway, policy::KnownLimit},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// The interval between announcements of changed limits. A limit takes a few intervals to reach all
/// daemons: from a daemon to its hubs, from these to the other hubs, and from these to the daemons
/// that report to them.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of limits per announcement. They fill one datagram, which is 5 KB/s for each
/// receiver, and only while limits change.
const MAX_LIMITS: usize = 24;
/// After this many intervals a hub announces limits in force to other hubs, changed or not: some
/// hubs were cut off, or not running, when the limits were announced.
const IN_FORCE_INTERVALS: u64 = 3;
/// The number of randomly drawn hubs to which limits in force are announced each time.
const IN_FORCE_HUBS: usize = 3;

/// Announces limits that upstreams name to other daemons.
pub(in crate::cluster) async fn announce_limits(gateway: Arc<Gateway>) {
    for interval in 1_u64.. {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        if gateway.tick_limits() == 0 {
            continue;
        }
        announce_changes(&gateway).await;
        if interval.is_multiple_of(IN_FORCE_INTERVALS) && gateway.is_hub() {
            let hubs = gateway.other_hubs().into_iter().collect();
            let drawn = gateway
                .random_sample(hubs, IN_FORCE_HUBS)
                .into_iter()
                .collect();
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
    let changes = gateway.limits.lock().to_announce(MAX_LIMITS, now_ms);
    let is_hub = gateway.is_hub();
    send_limits(gateway, &changes.hubs, is_hub, &hubs).await;
    send_limits(gateway, &changes.members, is_hub, &members).await;
}

/// Announces limits in force to daemons: all of them, or a random sample of [`MAX_LIMITS`].
pub(in crate::cluster) async fn announce_in_force(gateway: &Gateway, to: &BTreeSet<SocketAddr>) {
    let in_force = gateway.limits.lock().in_force(gateway.steady_ms());
    if !in_force.is_empty() {
        let drawn = gateway.random_sample(in_force, MAX_LIMITS);
        send_limits(gateway, &drawn, true, to).await;
    }
}

async fn send_limits(
    gateway: &Gateway,
    limits: &[KnownLimit],
    among_hubs: bool,
    to: &BTreeSet<SocketAddr>,
) {
    for limits in split_into_parts(limits.iter().map(AnnouncedLimit::of).collect()) {
        if limits.is_empty() {
            continue;
        }
        let packet = Packet::from(Extension::Limits(LimitsPart { among_hubs, limits }));
        for address in to {
            gateway.send_packet(&packet, *address).await;
        }
    }
}
