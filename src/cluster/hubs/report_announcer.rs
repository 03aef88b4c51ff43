use {
    crate::{cluster::*, gateway::Gateway, policy::SeedBackoff},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// The minimum time between two reports. It bounds the age of the loads by which a hub places
/// requests, apart from the network delay.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// The longest time between two reports to the hub that gets the admission queries, in
/// milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;
/// The interval of the reports to the other hubs of the failure domain, in milliseconds. These
/// reports only show that this daemon is alive.
const ALIVE_INTERVAL_MS: u64 = 1_000;
/// The time after its start for which a daemon queries its seeds even if it knows live hubs, in
/// milliseconds. After it, daemons that were started together are all running.
const STARTING_MS: u64 = 1_000;
/// The interval at which a daemon requests the quotas and the other daemons from its hub, in
/// milliseconds. It bounds the age of what the daemon knows of them.
const ALL_INTERVAL_MS: u64 = 1_800;
/// The most events in one report, so that it fits into one datagram.
const MAX_EVENTS: usize = 24;

/// Reports to the hubs of the failure domain while this daemon is no hub itself, and to its seeds
/// while it knows no live hub.
pub(in crate::cluster) async fn announce_reports(gateway: Arc<Gateway>) {
    let mut reporter = Reporter {
        seed_backoff: SeedBackoff::new(gateway.draw()),
        has_live_hubs: false,
        reported: (None, 0),
        alive_sent_ms: 0,
        all_requested_ms: 0,
        gateway: gateway.clone(),
    };
    let mut is_woken = false;
    loop {
        let pause_ms = match reporter.run_once(is_woken).await {
            true => 0,
            false => REPORT_INTERVAL_MS,
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
    has_live_hubs: bool,
    /// The hub that got the last full report, and the time of that report.
    reported: (Option<SocketAddr>, u64),
    /// When the other hubs got their last report.
    alive_sent_ms: u64,
    /// When the quotas and the other daemons were last requested.
    all_requested_ms: u64,
}

impl Reporter {
    /// Sends the reports that are due. Returns true if this daemon still queries its seeds.
    async fn run_once(&mut self, is_woken: bool) -> bool {
        let now_ms = self.gateway.steady_ms();
        let is_starting = self.is_starting(now_ms);
        let is_seed_queried = is_starting && self.query_seed(now_ms).await;
        if !self.gateway.is_hub() {
            self.report(is_seed_queried, is_woken, now_ms).await;
        }
        is_starting
    }

    fn is_starting(&mut self, now_ms: u64) -> bool {
        let has_live_hubs = self.gateway.peers.lock().has_live_hubs();
        if self.has_live_hubs && !has_live_hubs {
            self.seed_backoff.restart(now_ms);
        }
        self.has_live_hubs = has_live_hubs;
        now_ms < STARTING_MS || !has_live_hubs
    }

    /// Queries a seed for the other daemons if that is due. Returns true if it was due.
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
            let mut report = own_report(gateway, seed, query.interval_ms, REPORT_INTERVAL_MS);
            (report.wants_digest, report.wants_all) = (true, true);
            gateway
                .send_packet(&report_packet(gateway, report), seed)
                .await;
        }
        true
    }

    async fn report(&mut self, is_seed_queried: bool, is_woken: bool, now_ms: u64) {
        let gateway = &self.gateway;
        let next_hub = gateway.hub_client.next_hub(gateway);
        let wants_all = is_seed_queried || now_ms >= self.all_requested_ms + ALL_INTERVAL_MS;
        if wants_all {
            self.all_requested_ms = now_ms;
        }
        let (reported_to, reported_ms) = self.reported;
        let is_due = reported_to != next_hub || now_ms >= reported_ms + REPORT_INTERVAL_MS;
        if let Some(hub) = next_hub.filter(|_| wants_all || is_woken || is_due) {
            self.reported = (next_hub, now_ms);
            report_to_hub(gateway, hub, wants_all).await;
        }
        if is_seed_queried || now_ms >= self.alive_sent_ms + ALIVE_INTERVAL_MS {
            self.alive_sent_ms = now_ms;
            let hubs: BTreeSet<_> = gateway.peers.lock().own_hubs().into_iter().collect();
            for hub in hubs.into_iter().filter(|h| Some(*h) != next_hub) {
                let next_ms = ALIVE_INTERVAL_MS + REPORT_INTERVAL_MS;
                let report = own_report(gateway, hub, ALIVE_INTERVAL_MS, next_ms);
                gateway
                    .send_packet(&report_packet(gateway, report), hub)
                    .await;
            }
        }
    }
}

async fn report_to_hub(gateway: &Gateway, hub: SocketAddr, wants_all: bool) {
    let mut report = own_report(gateway, hub, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS);
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
    let mut packet = report_packet(gateway, report);
    if let Some(cooldowns) = gateway.cooldowns_to_announce() {
        packet = packet.with(Extension::Cooldowns(cooldowns));
    }
    if let Some(samples) = gateway.samples_to_announce().map(Extension::Samples) {
        match packet.has_room_for(&samples) {
            true => packet = packet.with(samples),
            false => gateway.send_packet(&samples.into(), hub).await,
        }
    }
    gateway.send_packet(&packet, hub).await;
    let counted_up_to = gateway.hub_client.counted_up_to();
    let (loads, held) = (gateway.own_loads(), gateway.own_held_tokens());
    let sequence = gateway.next_sequence();
    for packet in loads_packets(gateway, &loads, &held, sequence, counted_up_to) {
        gateway.send_packet(&packet, hub).await;
    }
}

fn report_packet(gateway: &Gateway, report: Report) -> Packet {
    with_source_state(gateway, Datagram::Report(report))
}

/// Builds a report to a hub. The next report follows at most `next_ms` later.
fn own_report(gateway: &Gateway, hub: SocketAddr, interval_ms: u64, next_ms: u64) -> Report {
    let peers = gateway.peers.lock();
    let daemon = peers.own().clone();
    let wants_digest = peers.wants_digest(hub, next_ms);
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
