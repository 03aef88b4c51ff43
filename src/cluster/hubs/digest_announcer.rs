use {
    crate::{cluster::*, gateway::Gateway, policy::HeldTokens},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// The minimum time between two digests.
const DIGEST_PAUSE: Duration = Duration::from_millis(50);
/// One in this many digests is also sent to the seeds, which starting daemons query.
const SEED_DIGEST_INTERVAL: u64 = 4;
/// One in this many digests is also sent to the silent daemons of the failure domain, so that a
/// restarted daemon learns of the others even if no seed is alive.
const SILENT_DIGEST_INTERVAL: u64 = 8;
/// The interval at which a hub sends its digest to the daemons that report to it, in milliseconds.
pub(in crate::cluster) const MEMBER_DIGEST_INTERVAL_MS: u64 = 600;

/// Sends digests, quotas and loads to the other hubs while this daemon is a hub. When it stops being
/// one, announces that to the former receivers.
pub(in crate::cluster) async fn announce_digests(gateway: Arc<Gateway>) {
    let mut sequence = 0;
    let mut quota_announcer = QuotaAnnouncer::default();
    loop {
        sequence += 1;
        if gateway.tick_peers() {
            let receivers = announce_to_hubs(&gateway, &mut quota_announcer, sequence).await;
            let mut listeners = gateway.former_listeners.lock();
            listeners.record_announced(receivers, gateway.steady_ms());
        } else if let Some(receivers) = receivers_as_former_hub(&gateway) {
            let digest = own_digest(
                &gateway,
                gateway.domain().as_str(),
                MEMBER_DIGEST_INTERVAL_MS,
            );
            send_all(&gateway, &[digest_packet(&gateway, digest)], &receivers).await;
        }
        // The next digest is sent early if this hub admitted more for an account at its limit than
        // the other hubs know of.
        let early = gateway.announce_early.notified();
        let interval = Duration::from_millis(gateway.peers.lock().digest_interval_ms());
        let _ = tokio::time::timeout(interval - DIGEST_PAUSE, early).await;
        tokio::time::sleep(DIGEST_PAUSE).await;
    }
}

/// Returns the daemons to notify that this one is no longer a hub; none if there are none.
fn receivers_as_former_hub(gateway: &Gateway) -> Option<BTreeSet<SocketAddr>> {
    let hubs = gateway.other_hubs();
    let now_ms = gateway.steady_ms();
    gateway.former_listeners.lock().to_announce(hubs, now_ms)
}

async fn announce_to_hubs(
    gateway: &Gateway,
    quota_announcer: &mut QuotaAnnouncer,
    sequence: u64,
) -> BTreeSet<SocketAddr> {
    let own = gateway.settings.listen.peers;
    let (mut hubs, listeners, silent, interval_ms) = {
        let peers = gateway.peers.lock();
        (
            peers.hub_addresses(),
            peers.listening_hubs(),
            peers.silent_neighbours(),
            peers.digest_interval_ms(),
        )
    };
    hubs.remove(&own);
    let digest = own_digest(gateway, gateway.domain().as_str(), interval_ms);
    let age_ms = gateway.hub_age_ms();
    let mut packets = vec![digest_packet(gateway, digest.clone())];
    if let Some(rooms) = gateway.rooms_to_announce(interval_ms) {
        add_rooms(&mut packets, rooms);
    }
    let quotas = split_into_parts(quota_announcer.due(gateway.tick_quotas(), listeners));
    let quotas = quotas_parts(gateway, quotas, sequence, age_ms);
    packets.extend(quotas.into_iter().map(Packet::from));
    let (loads, held) = (
        gateway.loads_with_dependents(),
        gateway.held_tokens_with_dependents(),
    );
    packets.extend(loads_packets(gateway, &loads, &held, sequence, 0));
    send_all(gateway, &packets, &hubs).await;
    // Seeds and silent daemons get fewer digests. These state the longer interval, since by the
    // usual one this hub would count as silent.
    let seeds = gateway.settings.peers.seeds.iter().copied();
    for (to, each) in [
        (silent, SILENT_DIGEST_INTERVAL),
        (seeds.collect(), SEED_DIGEST_INTERVAL),
    ] {
        if !sequence.is_multiple_of(each) {
            continue;
        }
        let is_other = |to: &SocketAddr| *to != own && !hubs.contains(to);
        let to: BTreeSet<SocketAddr> = to.into_iter().filter(is_other).collect();
        let mut digest = digest.clone();
        digest.interval_ms = (interval_ms * each) as u32;
        send_all(gateway, &[digest_packet(gateway, digest)], &to).await;
    }
    hubs
}

/// Adds the room of the failure domain to the first packet, or as a separate packet if it does not fit.
fn add_rooms(packets: &mut Vec<Packet>, rooms: RoomsPart) {
    let rooms = Extension::Rooms(rooms);
    match packets.first_mut() {
        Some(first) if first.has_room_for(&rooms) => first.extensions.push(rooms),
        _ => packets.push(Packet::from(rooms)),
    }
}

/// Sends each packet to each address.
pub(in crate::cluster) async fn send_all(
    gateway: &Gateway,
    packets: &[Packet],
    to: &BTreeSet<SocketAddr>,
) {
    for packet in packets {
        for address in to {
            gateway.send_packet(packet, *address).await;
        }
    }
}

fn digest_packet(gateway: &Gateway, digest: Digest) -> Packet {
    with_source_state(gateway, Datagram::Digest(digest))
}

/// Adds to a message what the sender's build knows, and whether the source is known to have returned
/// from an older copy.
pub(in crate::cluster) fn with_source_state(gateway: &Gateway, message: Datagram) -> Packet {
    let packet = Packet::from(message).with(Extension::Level(EXTENSION_LEVEL));
    let restored = gateway.directory.read().restored_era();
    match restored {
        Some(era) => packet.with(Extension::Restored(era.code())),
        None => packet,
    }
}

/// Sends the digest to a daemon that reports to this one, and all else that its report requests.
pub(in crate::cluster) async fn announce_to_member(gateway: &Gateway, report: &Report) {
    let to = report.daemon.address;
    let mut digest = own_digest(gateway, &report.daemon.domain, MEMBER_DIGEST_INTERVAL_MS);
    let others = gateway.peers.lock().duty_daemons().into_iter();
    let others = others.map(|((address, incarnation), holds)| DutyDaemon {
        address,
        incarnation,
        holds,
    });
    digest.duty_daemons.extend(others);
    if !report.wants_all {
        digest.known.clear();
    }
    gateway
        .send_packet(&digest_packet(gateway, digest), to)
        .await;
    if report.wants_all {
        announce_held_to(gateway, to).await;
        announce_in_force(gateway, &BTreeSet::from([to])).await;
        announce_speeds_to(gateway, report).await;
    }
    if report.wants_all && report.is_dependent {
        let all = gateway.announced_quotas();
        let parts = gateway.members.lock().quotas_for(&report.daemon.name, all);
        for part in quotas_parts(gateway, parts, gateway.next_sequence(), 0) {
            gateway.send_datagram(&part, to).await;
        }
    }
}

fn own_digest(gateway: &Gateway, domain: &str, interval_ms: u64) -> Digest {
    let daemon = gateway.peers.lock().own().clone();
    let mut digest = Digest::new(daemon, gateway.incarnation, gateway.next_sequence());
    digest.age_ms = gateway.hub_age_ms();
    digest.interval_ms = interval_ms as u32;
    digest.dependents = gateway.members.lock().dependents();
    digest.daemons = gateway.daemons() as u32;
    digest.status = gateway.status();
    let holds = gateway.holds_duties.load(Ordering::Relaxed);
    if holds || gateway.watches_duties() {
        digest.duty_daemons.push(DutyDaemon {
            address: gateway.settings.listen.peers,
            incarnation: gateway.incarnation,
            holds,
        });
    }
    let reporting = gateway.peers.lock().reporting_duty_holders();
    digest.duty_daemons.extend(reporting);
    digest.demand = gateway.own_demand();
    let speeds = gateway.own_prefill_speeds().into_iter();
    digest.reading = speeds
        .map(|(service, s)| (service.to_string(), s.ms_per_token as f32, s.comparisons))
        .collect();
    digest.rollouts = gateway.announced_rollouts();
    digest.known = gateway.sample_daemons(domain);
    digest
}

fn quotas_parts(
    gateway: &Gateway,
    parts: Vec<Vec<AnnouncedAccount>>,
    sequence: u64,
    age_ms: u64,
) -> Vec<Datagram> {
    let parts = parts.into_iter().filter(|part| !part.is_empty());
    parts
        .map(|quotas| {
            Datagram::Quotas(QuotasPart {
                name: gateway.settings.node.name.to_string(),
                incarnation: gateway.incarnation,
                sequence,
                age_ms,
                quotas,
            })
        })
        .collect()
}

/// Splits a daemon's loads at upstreams into packets, together with the tokens that its requests hold
/// there if `held` is not empty. `counted_up_to` is the id up to which the daemon's admission queries
/// are included in the loads.
pub(in crate::cluster) fn loads_packets(
    gateway: &Gateway,
    loads: &LoadSums,
    held: &HeldSums,
    sequence: u64,
    counted_up_to: u64,
) -> Vec<Packet> {
    let parts = split_loads(loads, held);
    let count = parts.len() as u32;
    let numbered = parts.into_iter().zip(0..);
    numbered
        .map(|((loads, held), part)| {
            let packet = Packet::from(Datagram::Loads(LoadsPart {
                name: gateway.settings.node.name.to_string(),
                incarnation: gateway.incarnation,
                sequence,
                part,
                parts: count,
                counted_up_to,
                loads,
            }));
            match held.tokens.is_empty() {
                true => packet,
                false => packet.with(Extension::Held(held)),
            }
        })
        .collect()
}

/// Splits loads into parts that fit into a datagram each, with the held tokens of each part.
fn split_loads(loads: &LoadSums, held: &HeldSums) -> Vec<(Vec<AnnouncedLoad>, HeldPart)> {
    let announced = loads.iter().map(|(id, (active, tokens))| {
        let load = AnnouncedLoad {
            upstream: id.to_string(),
            active: *active,
            waiting_tokens: u32::try_from(*tokens).unwrap_or(u32::MAX),
        };
        (load, announced_held(held.get(id)))
    });
    if held.is_empty() {
        let parts = split_into_parts(announced.map(|(load, _)| load).collect());
        let parts = parts.into_iter();
        return parts.map(|loads| (loads, HeldPart::default())).collect();
    }
    let parts = split_into_parts(announced.collect()).into_iter();
    let parts = parts.map(|part| part.into_iter().unzip());
    parts
        .map(|(loads, tokens)| (loads, HeldPart { tokens }))
        .collect()
}

/// Returns the held tokens to announce for an upstream. Requests of daemons of earlier builds, which
/// don't announce theirs, count as the average of the others; none if the tokens of no request are
/// known.
fn announced_held(held: Option<&HeldTokens>) -> Option<u32> {
    let tokens = held?.tokens(held?.per_request()?);
    Some(u32::try_from(tokens).unwrap_or(u32::MAX))
}
