use {
    super::{digest_teller::*, *},
    crate::gateway::Gateway,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// The least time between two reports: so old are loads at most that a hub
/// decides by, beside the way.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// The longest time between two reports to the hub that is asked, in
/// milliseconds.
const REPORT_EVERY_MS: u64 = 500;
/// How often other hubs are told that this daemon lives, in milliseconds.
const ALIVE_EVERY_MS: u64 = 1_000;
/// How often a daemon that hears no hub says that it is there, in milliseconds.
const HELLO_EVERY_MS: u64 = 100;
/// For how long after its start a daemon does so all the same, in milliseconds:
/// until then the others have started, too.
const STARTING_MS: u64 = 1_000;
/// How old what is known of quotas and other daemons may be, in milliseconds.
const ALL_EVERY_MS: u64 = 1_800;
/// How many events one report tells at most: with them it stays below the size
/// of one datagram.
const MAX_EVENTS: usize = 24;

/// Reports to the hubs of the failure domain for as long as this daemon isn't
/// one itself, and to the seeds until it hears any.
pub(super) async fn tell_reports(gateway: Arc<Gateway>) {
    let mut alive_ms = 0;
    let mut all_ms = 0;
    loop {
        let now_ms = gateway.steady_ms();
        let is_starting = now_ms < STARTING_MS || !gateway.peers.lock().hears_hubs();
        let mut every_ms = REPORT_EVERY_MS;
        if is_starting {
            every_ms = HELLO_EVERY_MS;
            tell_seeds(&gateway).await;
        }
        if !gateway.is_hub() {
            let leans_on = gateway.hub_desk.leans_on(&gateway);
            let wants_all = is_starting || now_ms >= all_ms + ALL_EVERY_MS;
            if wants_all {
                all_ms = now_ms;
            }
            if let Some(hub) = leans_on {
                report_to_hub(&gateway, hub, wants_all).await;
            }
            if is_starting || now_ms >= alive_ms + ALIVE_EVERY_MS {
                alive_ms = now_ms;
                let hubs: BTreeSet<_> = gateway.peers.lock().own_hubs().into_iter().collect();
                for hub in hubs.into_iter().filter(|h| Some(*h) != leans_on) {
                    let report = own_report(&gateway, hub, ALIVE_EVERY_MS);
                    gateway.send_packet(&report_packet(report), hub).await;
                }
            }
        }
        let early = gateway.report_early.notified();
        let every = Duration::from_millis(every_ms).saturating_sub(REPORT_PAUSE);
        let _ = tokio::time::timeout(every, early).await;
        tokio::time::sleep(REPORT_PAUSE).await;
    }
}

async fn tell_seeds(gateway: &Gateway) {
    for seed in &gateway.settings.peers.seeds {
        if *seed == gateway.settings.listen.peers {
            continue;
        }
        let mut report = own_report(gateway, *seed, HELLO_EVERY_MS);
        (report.wants_digest, report.wants_all) = (true, true);
        gateway.send_packet(&report_packet(report), *seed).await;
    }
}

async fn report_to_hub(gateway: &Gateway, hub: SocketAddr, wants_all: bool) {
    let mut report = own_report(gateway, hub, REPORT_EVERY_MS);
    report.leans_on_you = true;
    report.wants_all = wants_all;
    report.wants_digest |= wants_all;
    (report.alone, report.alone_batch) = gateway.lone_quotas.lock().to_tell(hub);
    let events = match report.alone.is_empty() {
        true => MAX_EVENTS,
        false => MAX_EVENTS / 2,
    };
    report.events = gateway.events.lock().to_tell(events);
    gateway.send_packet(&report_packet(report), hub).await;
    let counted = gateway.hub_desk.counted();
    let loads = gateway.own_loads();
    let sequence = gateway.next_sequence();
    for part in loads_parts(gateway, &loads, sequence, counted) {
        gateway.send_datagram(&part, hub).await;
    }
}

fn report_packet(report: Report) -> Packet {
    Packet::from(Datagram::Report(report)).with(Extension::Level(EXTENSION_LEVEL))
}

fn own_report(gateway: &Gateway, hub: SocketAddr, every_ms: u64) -> Report {
    let peers = gateway.peers.lock();
    let daemon = peers.own().clone();
    let wants_digest = peers.wants_digest(hub, MEMBERS_EVERY_MS);
    drop(peers);
    Report {
        daemon,
        life: gateway.incarnation,
        sequence: gateway.next_sequence(),
        every_ms: every_ms as u32,
        leans_on_you: false,
        wants_digest,
        wants_all: false,
        status: gateway.status(),
        events: Vec::new(),
        alone: Vec::new(),
        alone_batch: 0,
    }
}
