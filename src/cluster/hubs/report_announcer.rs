use {
    crate::{cluster::*, gateway::Gateway, policy::SeedBackoff},
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
/// For how long after its start a daemon asks its seeds also if it hears hubs, in
/// milliseconds: until then the others have started, too.
const STARTING_MS: u64 = 1_000;
/// How old what is known of quotas and other daemons may be, in milliseconds.
const ALL_EVERY_MS: u64 = 1_800;
/// How many events one report tells at most: with them it stays below the size
/// of one datagram.
const MAX_EVENTS: usize = 24;

/// Reports to the hubs of the failure domain for as long as this daemon isn't
/// one itself, and to its seeds until it hears any.
pub(in crate::cluster) async fn announce_reports(gateway: Arc<Gateway>) {
    let mut reporter = Reporter {
        seed_backoff: SeedBackoff::new(gateway.draw()),
        hears_hubs: false,
        reported: (None, 0),
        alive_ms: 0,
        all_ms: 0,
        gateway: gateway.clone(),
    };
    let mut is_woken = false;
    loop {
        let pause_ms = match reporter.turn(is_woken).await {
            true => 0,
            false => REPORT_EVERY_MS,
        };
        let pause = Duration::from_millis(pause_ms).saturating_sub(REPORT_PAUSE);
        let early = gateway.report_early.notified();
        is_woken = tokio::time::timeout(pause, early).await.is_ok();
        tokio::time::sleep(REPORT_PAUSE).await;
    }
}

struct Reporter {
    gateway: Arc<Gateway>,
    seed_backoff: SeedBackoff,
    hears_hubs: bool,
    /// The hub through which requests are let in, as it was reported to last, and when.
    reported: (Option<SocketAddr>, u64),
    /// When the other hubs were told last that this daemon lives.
    alive_ms: u64,
    /// When all was asked for last.
    all_ms: u64,
}

impl Reporter {
    /// Reports what is due; returns whether this daemon still looks for others.
    async fn turn(&mut self, is_woken: bool) -> bool {
        let now_ms = self.gateway.steady_ms();
        let is_starting = self.is_starting(now_ms);
        let asks_all = is_starting && self.query_seed(now_ms).await;
        if !self.gateway.is_hub() {
            self.report(asks_all, is_woken, now_ms).await;
        }
        is_starting
    }

    fn is_starting(&mut self, now_ms: u64) -> bool {
        let hears_hubs = self.gateway.peers.lock().hears_hubs();
        if self.hears_hubs && !hears_hubs {
            self.seed_backoff.restart(now_ms);
        }
        self.hears_hubs = hears_hubs;
        now_ms < STARTING_MS || !hears_hubs
    }

    /// Asks a seed who the others are, if that is due; returns whether it was.
    async fn query_seed(&mut self, now_ms: u64) -> bool {
        let gateway = &self.gateway;
        let seeds = &gateway.settings.peers.seeds;
        let Some(query) = self
            .seed_backoff
            .next_query(seeds.len(), gateway.draw(), now_ms)
        else {
            return false;
        };
        let seed = seeds[query.seed];
        if seed != gateway.settings.listen.peers {
            let mut report = own_report(gateway, seed, query.interval_ms);
            (report.wants_digest, report.wants_all) = (true, true);
            gateway.send_packet(&report_packet(report), seed).await;
        }
        true
    }

    async fn report(&mut self, asks_all: bool, is_woken: bool, now_ms: u64) {
        let gateway = &self.gateway;
        let leans_on = gateway.hub_client.leans_on(gateway);
        let wants_all = asks_all || now_ms >= self.all_ms + ALL_EVERY_MS;
        if wants_all {
            self.all_ms = now_ms;
        }
        let (reported_to, reported_ms) = self.reported;
        let is_due = reported_to != leans_on || now_ms >= reported_ms + REPORT_EVERY_MS;
        if let Some(hub) = leans_on.filter(|_| wants_all || is_woken || is_due) {
            self.reported = (leans_on, now_ms);
            report_to_hub(gateway, hub, wants_all).await;
        }
        if asks_all || now_ms >= self.alive_ms + ALIVE_EVERY_MS {
            self.alive_ms = now_ms;
            let hubs: BTreeSet<_> = gateway.peers.lock().own_hubs().into_iter().collect();
            for hub in hubs.into_iter().filter(|h| Some(*h) != leans_on) {
                let report = own_report(gateway, hub, ALIVE_EVERY_MS);
                gateway.send_packet(&report_packet(report), hub).await;
            }
        }
    }
}

async fn report_to_hub(gateway: &Gateway, hub: SocketAddr, wants_all: bool) {
    let mut report = own_report(gateway, hub, REPORT_EVERY_MS);
    report.is_dependent = true;
    report.wants_all = wants_all;
    report.wants_digest |= wants_all;
    (report.admitted_standalone, report.standalone_batch) =
        gateway.standalone_quotas.lock().to_announce(hub);
    let events = match report.admitted_standalone.is_empty() {
        true => MAX_EVENTS,
        false => MAX_EVENTS / 2,
    };
    report.events = gateway.events.lock().to_announce(events);
    let mut packet = report_packet(report);
    if let Some(cooldowns) = gateway.cooldowns_to_announce() {
        packet = packet.with(Extension::Rests(cooldowns));
    }
    gateway.send_packet(&packet, hub).await;
    let counted = gateway.hub_client.counted();
    let loads = gateway.own_loads();
    let sequence = gateway.next_sequence();
    for part in loads_parts(gateway, &loads, sequence, counted) {
        gateway.send_datagram(&part, hub).await;
    }
}

fn report_packet(report: Report) -> Packet {
    Packet::from(Datagram::Report(report)).with(Extension::Level(EXTENSION_LEVEL))
}

fn own_report(gateway: &Gateway, hub: SocketAddr, interval_ms: u64) -> Report {
    let peers = gateway.peers.lock();
    let daemon = peers.own().clone();
    let wants_digest = peers.wants_digest(hub, MEMBERS_EVERY_MS);
    drop(peers);
    Report {
        daemon,
        incarnation: gateway.incarnation,
        sequence: gateway.next_sequence(),
        interval_ms: interval_ms as u32,
        is_dependent: false,
        wants_digest,
        wants_all: false,
        status: gateway.status(),
        events: Vec::new(),
        admitted_standalone: Vec::new(),
        standalone_batch: 0,
    }
}
