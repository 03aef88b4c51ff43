use {
    crate::{cluster::*, gateway::Gateway, policy::KnownSpeed},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// The interval at which a hub announces speeds, in one datagram to each receiver.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The largest number of speeds in one announcement. They fill about one datagram.
const MAX_SPEEDS: usize = 24;
/// The number of randomly chosen hubs of other failure domains that get each announcement. On
/// average, a hub so receives as many datagrams from other failure domains as it sends there.
const SAMPLED_HUBS: usize = 2;
/// The largest number of speeds that a daemon is sent for each of its first reports that request all
/// state: three datagrams, as it knows none yet.
const MAX_SPEEDS_AT_START: usize = 3 * MAX_SPEEDS;
/// How many of a daemon's reports that request all state are answered with speeds. The first may be
/// sent before the daemon knows any upstream.
const REQUESTS_AT_START: usize = 4;

/// Announces the speeds of upstreams to other hubs while this daemon is a hub. The hubs of its own
/// failure domain place requests at the same upstreams, so they get each announcement.
pub(in crate::cluster) async fn announce_speeds(gateway: Arc<Gateway>) {
    if !gateway.settings.mechanisms.upstream_speeds {
        return;
    }
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        gateway.tick_speeds();
        if !gateway.is_hub() {
            continue;
        }
        let now_ms = gateway.steady_ms();
        let speeds = gateway.speeds.lock().to_announce(MAX_SPEEDS, now_ms);
        if speeds.is_empty() {
            continue;
        }
        let own_hubs = gateway.peers.lock().own_hubs();
        let others = gateway.other_hubs();
        let distant = others.iter().filter(|hub| !own_hubs.contains(hub)).copied();
        let sampled = gateway.random_sample(distant.collect(), SAMPLED_HUBS);
        let own_hubs = own_hubs.into_iter().filter(|hub| others.contains(hub));
        let to: BTreeSet<SocketAddr> = own_hubs.chain(sampled).collect();
        let packets = speed_packets(gateway.settings.node.name.as_str(), &speeds);
        send_all(&gateway, &packets, &to).await;
    }
}

/// Sends known speeds to a daemon that reports to this one, if its report is one of the first that
/// request all state. The daemon places requests itself while no hub answers, or once it is a hub.
pub(in crate::cluster) async fn announce_speeds_to(gateway: &Gateway, report: &Report) {
    let now_ms = gateway.steady_ms();
    let differing = gateway.speeds.lock().all_differing(now_ms);
    if differing.is_empty() {
        return;
    }
    let name = &report.daemon.name;
    let request = gateway.members.lock().next_speed_request(name);
    if request.is_none_or(|earlier| earlier >= REQUESTS_AT_START) {
        return;
    }
    let sampled = gateway.random_sample(differing, MAX_SPEEDS_AT_START);
    for packet in speed_packets(gateway.settings.node.name.as_str(), &sampled) {
        gateway.send_packet(&packet, report.daemon.address).await;
    }
}

/// Returns packets with the given speeds, each with the scatters that go with its speeds.
pub fn speed_packets(name: &str, speeds: &[KnownSpeed]) -> Vec<Packet> {
    let mut remaining = speeds;
    let parts = split_into_parts(speeds.iter().map(AnnouncedSpeed::of).collect());
    let parts = parts.into_iter().filter(|part| !part.is_empty());
    parts
        .map(|speeds| {
            let (packed, later) = remaining.split_at(speeds.len());
            remaining = later;
            let name = name.to_string();
            Packet::from(Extension::Speeds(SpeedsPart { name, speeds }))
                .with(Extension::Scatters(ScattersPart::of(packed)))
        })
        .collect()
}

/// Applies samples of a daemon that sends its admission queries to this one.
pub(in crate::cluster) fn apply_samples(gateway: &Gateway, part: &SamplesPart) {
    if part.name == gateway.settings.node.name.as_str() {
        return;
    }
    let now_ms = gateway.steady_ms();
    let samples = gateway.members.lock().apply_samples(part, now_ms);
    for sample in &samples {
        gateway.learn_speed_sample(sample);
    }
}

/// Applies speeds that a hub announced; `scatters` are those of the same packet.
pub(in crate::cluster) fn apply_speeds(
    gateway: &Gateway,
    part: &SpeedsPart,
    scatters: Option<&ScattersPart>,
) {
    if part.name != gateway.settings.node.name.as_str() {
        gateway.apply_speeds(&part.name, &part.known(scatters));
    }
}
