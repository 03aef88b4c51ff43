use {
    crate::{
        cluster::*,
        gateway::Gateway,
        names::{SourceEra, UpstreamId},
        policy::FirstEvent,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::UdpSocket,
};

/// Hubs whose ages differ by at most this count as equally old, in milliseconds. It is the time of
/// a few digests.
const AGE_TOLERANCE_MS: u64 = 500;
/// The pause after a failed read of the socket.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receives the datagrams of other daemons, and sends this daemon's announcements.
pub async fn exchange_datagrams(socket: UdpSocket, gateway: Arc<Gateway>) {
    let socket = Arc::new(socket);
    gateway.set_datagram_socket(socket.clone());
    tokio::join!(
        receive_datagrams(socket, gateway.clone()),
        announce_digests(gateway.clone()),
        announce_reports(gateway.clone()),
        announce_usage(gateway.clone()),
        announce_versions(gateway.clone()),
        announce_crashes(gateway.clone()),
        announce_limits(gateway.clone()),
        announce_speeds(gateway.clone()),
        announce_leaving(gateway.clone()),
        announce_origins(gateway.clone()),
        release_slots(gateway)
    );
}

async fn receive_datagrams(socket: Arc<UdpSocket>, gateway: Arc<Gateway>) {
    let mut buf = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::info!(target: "peers", "reading a datagram failed. error=\"{e}\"");
                tokio::time::sleep(READ_RETRY_DELAY).await;
                continue;
            }
        };
        match Packet::decode(&buf[..length]) {
            Ok(packet) => {
                let version = buf[0];
                let now_ms = gateway.steady_ms();
                gateway.peer_versions.lock().record(from, version, now_ms);
                handle_packet(&gateway, packet, from).await;
            }
            Err(e) => log::warn!(target: "peers", "datagram rejected. error=\"{e}\""),
        }
    }
}

async fn handle_packet(gateway: &Arc<Gateway>, packet: Packet, from: SocketAddr) {
    apply_extensions(gateway, &packet, from).await;
    let level = packet.level();
    let has_permit = packet.extensions.contains(&Extension::HasPermit);
    let terms = packet.query_terms();
    let held = packet.held().cloned();
    let now_ms = gateway.steady_ms();
    gateway.hub_client.record_contact(from);
    match packet.datagram {
        Datagram::Digest(digest) => apply_digest(gateway, digest, level, now_ms),
        Datagram::Quotas(part) => apply_quotas(gateway, &part, now_ms),
        Datagram::Loads(part) => apply_loads(gateway, part, held, now_ms),
        Datagram::Report(report) => {
            apply_report(gateway, &report, now_ms).await;
            gateway
                .peers
                .lock()
                .record_level(&report.daemon.name, level);
        }
        Datagram::AdmissionQuery(query) => answer_query(gateway, query, terms, from).await,
        Datagram::Answer(answer) => {
            if answer.incarnation == gateway.incarnation {
                gateway.hub_client.apply(answer, has_permit);
            }
        }
        Datagram::Crashes(part) => apply_crashes(gateway, &part),
        Datagram::Versions(part) => gateway.version_count_table.lock().apply(part),
        Datagram::Usage(part) => apply_usage(gateway, &part, from, now_ms).await,
        Datagram::UsageAck(ack) => {
            let mut announcers = gateway.usage_announcers.lock();
            if let Some(announcer) = announcers.get_mut(&ack.incarnation) {
                announcer.apply(from, ack);
            }
        }
    }
}

/// Applies the extensions that stand by themselves. The others are applied with the message that they
/// go with.
async fn apply_extensions(gateway: &Arc<Gateway>, packet: &Packet, from: SocketAddr) {
    for extension in &packet.extensions {
        match extension {
            Extension::Cooldowns(part) => {
                if let Datagram::Report(report) = &packet.datagram {
                    gateway.apply_cooldowns(&report.daemon.name, part);
                }
            }
            Extension::Limits(part) => apply_limits(gateway, part),
            Extension::Leaving(part) => apply_leaving(gateway, part),
            Extension::PermitQuery(query) => answer_permit_query(gateway, query.clone(), from),
            Extension::PermitAnswer(answer) => {
                if answer.incarnation == gateway.incarnation {
                    gateway.permit_client.apply(answer.id, answer.clone());
                }
            }
            Extension::SlotQuery(query) => answer_slot_query(gateway, query, from).await,
            Extension::SlotAnswer(answer) => {
                if answer.incarnation == gateway.incarnation {
                    gateway.slot_client.apply(answer.id, answer.clone());
                }
            }
            Extension::SlotReleases(releases) => apply_slot_releases(gateway, releases),
            Extension::Restored(era) => {
                gateway.record_announced_restore(SourceEra::from_code(*era));
            }
            Extension::Origins(part) => apply_origins(gateway, part),
            Extension::OriginQuery(query) => answer_origin_query(gateway, query, from).await,
            Extension::OriginAnswer(answer) => {
                gateway.apply_origin_answer(answer, packet.alone_version());
            }
            Extension::PartCrashes(part) => apply_part_crashes(gateway, part),
            Extension::Samples(part) => apply_samples(gateway, part),
            Extension::Speeds(part) => apply_speeds(gateway, part, packet.scatters()),
            Extension::Rooms(part) => gateway.apply_rooms(part),
            Extension::Level(_)
            | Extension::HasPermit
            | Extension::Urgency(_)
            | Extension::OnlyVersion(_)
            | Extension::Scatters(_)
            | Extension::AloneVersion(_)
            | Extension::Held(_) => {}
        }
    }
}

fn apply_digest(gateway: &Gateway, digest: Digest, level: u8, now_ms: u64) {
    gateway.apply_rollouts(&digest.rollouts);
    let name = digest.daemon.name.clone();
    let sequence = digest.sequence;
    if digest.daemon.domain != gateway.domain().as_str() && !gateway.is_hub() {
        let mut listeners = gateway.former_listeners.lock();
        listeners.record_digest_of(digest.daemon.address, gateway.steady_ms());
    }
    apply_to_peers(gateway, &name, "digest", sequence, |peers| {
        peers.apply_digest(digest, now_ms)
    });
    gateway.peers.lock().record_level(&name, level);
}

/// Applies a part of a daemon's loads: to the peers if it is a hub, otherwise to the daemons that report
/// to this one.
fn apply_loads(gateway: &Gateway, part: LoadsPart, held: Option<HeldPart>, now_ms: u64) {
    let mut peers = gateway.peers.lock();
    if let Some(held) = held.clone() {
        peers.apply_held(&part, held);
    }
    let is_hub = peers.apply_loads(&part, now_ms);
    drop(peers);
    if !is_hub {
        let mut members = gateway.members.lock();
        if let Some(held) = held {
            members.apply_held(&part, held, now_ms);
        }
        members.apply_loads(part, now_ms);
    }
}

fn apply_crashes(gateway: &Gateway, part: &CrashesPart) {
    // A hub forwards what it receives from hubs to the daemons that report to it, and what it
    // receives from other daemons to all.
    let forward_to_hubs = gateway.is_hub().then_some(!part.among_hubs);
    for announced in &part.ends {
        gateway.apply_crash(&announced.to_known(), forward_to_hubs);
    }
}

fn apply_part_crashes(gateway: &Gateway, part: &PartCrashesPart) {
    let forward_to_hubs = gateway.is_hub().then_some(!part.among_hubs);
    for announced in &part.crashes {
        gateway.apply_part_crash(&announced.to_known(), forward_to_hubs);
    }
    for announced in &part.survivals {
        gateway.apply_survival(&announced.to_known(), forward_to_hubs);
    }
}

fn apply_quotas(gateway: &Gateway, part: &QuotasPart, now_ms: u64) {
    if !gateway.peers.lock().apply_quotas(part, now_ms) {
        return;
    }
    let is_younger = part.age_ms <= gateway.hub_age_ms() + AGE_TOLERANCE_MS;
    let notices: Vec<_> = part.quotas.iter().map(AnnouncedAccount::notice).collect();
    let mut quotas = gateway.quotas.lock();
    quotas.apply(&part.name, part.incarnation, &notices, is_younger, now_ms);
}

async fn apply_report(gateway: &Gateway, report: &Report, now_ms: u64) {
    let name = &report.daemon.name;
    if name == gateway.settings.node.name.as_str() {
        return;
    }
    let is_newer = apply_to_peers(gateway, name, "report", report.sequence, |peers| {
        peers.apply_report(report, now_ms)
    });
    if !is_newer {
        return;
    }
    let changes = gateway.members.lock().apply_report(report, now_ms);
    for (account, units) in &changes.admitted_standalone {
        gateway.quotas.lock().record_admitted(account, *units);
    }
    for event in changes.events {
        apply_event(gateway, &report.daemon.name, event, now_ms);
    }
    if report.wants_digest {
        announce_to_member(gateway, report).await;
    }
}

/// Applies a daemon's message, and logs it if by it the daemon becomes a hub or ceases to be one. Returns
/// what `apply` returns: whether the message is newer than the last one of its kind.
fn apply_to_peers(
    gateway: &Gateway,
    name: &str,
    message: &str,
    sequence: u64,
    apply: impl FnOnce(&mut PeerTable) -> bool,
) -> bool {
    let mut peers = gateway.peers.lock();
    let was_hub = peers.counts_as_hub(name);
    let is_newer = apply(&mut peers);
    let is_hub = peers.counts_as_hub(name);
    drop(peers);
    if was_hub != is_hub {
        log::info!(
            target: "hubs",
            "daemon became a hub or ceased to be one. name={name} is_hub={is_hub} message={message} sequence={sequence}"
        );
    }
    is_newer
}

/// Updates the local estimates with an event of another daemon's request, as with an own one.
fn apply_event(gateway: &Gateway, name: &str, event: MemberEvent, now_ms: u64) {
    match event {
        MemberEvent::Ended { upstream, failed } => {
            let id = UpstreamId::from(upstream.as_str());
            let mut loads = gateway.loads.lock();
            loads.entry(&id).record_outcome(failed, now_ms);
        }
        MemberEvent::Unreachable { upstream } => {
            let id = UpstreamId::from(upstream.as_str());
            let mut members = gateway.members.lock();
            let is_unreachable = members.is_unreachable_for_others(name, &id, now_ms);
            drop(members);
            if is_unreachable {
                gateway.loads.lock().entry(&id).record_unreachable(now_ms);
            }
        }
        MemberEvent::Misdirected { upstream } => {
            let id = UpstreamId::from(upstream.as_str());
            gateway.loads.lock().entry(&id).record_misdirected(now_ms);
        }
        MemberEvent::FirstEvent {
            service,
            unread_tokens,
            after_ms,
        } => {
            let event = FirstEvent {
                unread_tokens: u64::from(unread_tokens),
                after_ms: f64::from(after_ms),
            };
            gateway.learn_first_event(&service.as_str().into(), event);
        }
        MemberEvent::Completed { service, ms } => {
            gateway.learn_stay(&service.as_str().into(), f64::from(ms));
        }
    }
}

async fn apply_usage(gateway: &Gateway, part: &UsagePart, from: SocketAddr, now_ms: u64) {
    let counts = part.counts.iter();
    let counts = counts.map(|(name, n)| (name.as_str().into(), u64::from(*n)));
    let windows = [(part.window, counts.collect())];
    // This daemon's own counts, which another daemon forwarded back, are already included.
    if part.incarnation != gateway.incarnation {
        let mut usage = gateway.usage.lock();
        usage.merge(&part.name, part.incarnation, &windows);
        usage.record_contact(&part.name, part.incarnation, now_ms);
        if part.complete_before > 0 {
            usage.record_complete(&part.name, part.complete_before, now_ms);
        }
    }
    let ack = UsageAck {
        holder_incarnation: gateway.incarnation,
        incarnation: part.incarnation,
        number: part.number,
    };
    gateway.send_datagram(&Datagram::UsageAck(ack), from).await;
}
