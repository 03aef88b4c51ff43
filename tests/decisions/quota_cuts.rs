//! Quotas while failure domains are cut off from each other and daemons restart behind the cut, with
//! fixed seeds. Each daemon hears only what its peers can send it.

use {
    crate::cluster_support::entry,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{cluster::*, names::ClientAccount, policy::*, routing::AccountTerms},
    std::collections::BTreeSet,
};

const RATE: f64 = 100_000.0;
const BURST: f64 = 100_000.0;
const TICK_MS: u64 = 250;
const WINDOW_MS: u64 = 8_000;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// The failure domain of each daemon.
const PLACES: [usize; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
/// The number of daemons that a daemon assumes while it knows only itself.
const ASSUMED: usize = 9;
/// Two hubs of about the same age count as equally old.
const AGE_TOLERANCE_MS: u64 = 500;

const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: WINDOW_MS as f64 / 1_000.0,
    overshoot: 0.1,
    tolerance: 72_000.0,
};

fn terms() -> AccountTerms {
    AccountTerms {
        name: ClientAccount::from("t"),
        keys: vec!["k".into()],
        priority: None,
        rate_per_s: RATE,
        burst: BURST,
        plain_cost: 200.0,
        counts_tokens: true,
    }
}

struct Daemon {
    peers: PeerTable,
    quotas: QuotaTable,
    announcer: QuotaAnnouncer,
    incarnation: u64,
    started_ms: u64,
}

impl Daemon {
    fn new(n: usize, incarnation: u64, started_ms: u64) -> Self {
        Self {
            peers: PeerTable::new(entry(&n.to_string(), DOMAINS[PLACES[n]], n)),
            quotas: QuotaTable::new(BOUNDS),
            announcer: QuotaAnnouncer::default(),
            incarnation,
            started_ms,
        }
    }

    fn daemons(&self) -> usize {
        match self.peers.daemons() {
            0 | 1 => ASSUMED,
            known => known,
        }
    }

    /// Brings the daemon up to date, and returns what it announces.
    fn announce(&mut self, domains: &[&str], now_ms: u64) -> (Digest, QuotasPart) {
        self.peers.tick(1, now_ms);
        let age_ms = now_ms - self.started_ms;
        let others = self.peers.quota_daemons();
        let heard = self.peers.heard_daemons(domains.iter().copied(), age_ms);
        self.quotas.reserve_unheard(heard.unheard_share());
        let daemons = self.daemons();
        let notices = self.quotas.tick(&[terms()], &others, daemons, now_ms);
        let all = notices.iter().map(AnnouncedAccount::of).collect();
        let quotas = self.announcer.due(all, self.peers.listening_hubs());
        let own = self.peers.own().clone();
        let part = QuotasPart {
            name: own.name.clone(),
            incarnation: self.incarnation,
            sequence: now_ms + 1,
            age_ms,
            quotas,
        };
        let mut digest = Digest::new(own, self.incarnation, now_ms + 1);
        digest.interval_ms = TICK_MS as u32;
        digest.age_ms = age_ms;
        digest.daemons = daemons as u32;
        (digest, part)
    }

    fn receive(&mut self, digest: &Digest, part: &QuotasPart, now_ms: u64) {
        self.peers.apply_digest(digest.clone(), now_ms);
        if self.peers.apply_quotas(part, now_ms) {
            let is_younger = part.age_ms <= now_ms - self.started_ms + AGE_TOLERANCE_MS;
            let notices: Vec<_> = part.quotas.iter().map(AnnouncedAccount::notice).collect();
            self.quotas
                .apply(&part.name, part.incarnation, &notices, is_younger, now_ms);
        }
    }
}

struct Fleet {
    daemons: Vec<Daemon>,
    /// The failure domains by the settings; they may have no daemons.
    domains: Vec<&'static str>,
    now_ms: u64,
    /// The failure domains that are cut off from all others.
    cut: BTreeSet<usize>,
    /// The admitted requests, as time and cost.
    admitted: Vec<(u64, f64)>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            daemons: (0..PLACES.len()).map(|n| Daemon::new(n, 1, 0)).collect(),
            domains: DOMAINS.to_vec(),
            now_ms: 0,
            cut: BTreeSet::new(),
            admitted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn restart(&mut self, daemons: impl IntoIterator<Item = usize>) {
        for n in daemons {
            let incarnation = self.daemons[n].incarnation + 1;
            self.daemons[n] = Daemon::new(n, incarnation, self.now_ms);
        }
    }

    /// Offers `offered` times the rate until `until_ms`.
    fn run(&mut self, until_ms: u64, offered: f64) {
        while self.now_ms < until_ms {
            self.announce();
            self.offer(offered);
            self.now_ms += TICK_MS;
        }
    }

    fn announce(&mut self) {
        for (from, here) in PLACES.into_iter().enumerate() {
            let (digest, part) = self.daemons[from].announce(&self.domains, self.now_ms);
            for (to, there) in PLACES.into_iter().enumerate().filter(|(to, _)| *to != from) {
                let is_cut = self.cut.contains(&here) || self.cut.contains(&there);
                if here == there || !is_cut {
                    self.daemons[to].receive(&digest, &part, self.now_ms);
                }
            }
        }
    }

    fn offer(&mut self, offered: f64) {
        let mut left = RATE * offered * TICK_MS as f64 / 1_000.0;
        let mut requests = Vec::new();
        while left > 0.0 {
            let cost = self.rng.random_range(500.0..15_000.0_f64);
            left -= cost;
            let at_ms = self.now_ms + self.rng.random_range(0..TICK_MS);
            requests.push((at_ms, cost, self.rng.random_range(0..self.daemons.len())));
        }
        requests.sort_by_key(|(at_ms, ..)| *at_ms);
        for (at_ms, cost, at) in requests {
            let daemon = &mut self.daemons[at];
            let start_share = 1.0 / daemon.daemons() as f64;
            let quotas = &mut daemon.quotas;
            quotas.record_demand(&terms(), cost, start_share, at_ms);
            if quotas.admit(&terms(), cost, start_share, at_ms).is_ok() {
                self.admitted.push((at_ms, cost));
            }
        }
    }

    fn admitted_between(&self, from_ms: u64, until_ms: u64) -> f64 {
        let inside = |at: u64| at >= from_ms && at < until_ms;
        let inside = self.admitted.iter().filter(|(at, _)| inside(*at));
        inside.map(|(_, cost)| cost).sum()
    }

    /// Returns the highest total cost admitted within any window, as a part of what is allowed.
    fn worst_window(&self) -> f64 {
        let allowed = (RATE * WINDOW_MS as f64 / 1_000.0 + BURST) * 1.1 + BOUNDS.tolerance;
        let starts = self.admitted.iter().map(|(at, _)| *at);
        let sums = starts.map(|start| self.admitted_between(start, start + WINDOW_MS));
        sums.fold(0.0, f64::max) / allowed
    }
}

#[test]
fn daemons_that_restart_behind_a_cut_leave_the_shares_of_those_that_they_cannot_hear() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        fleet.run(10_000, 0.5);
        fleet.cut = BTreeSet::from([0]);
        fleet.run(10_500, 0.5);
        fleet.restart([1, 2, 4, 5]);
        fleet.run(14_000, 0.5);
        fleet.run(15_000, 5.0);
        fleet.cut = BTreeSet::from([0, 1]);
        fleet.run(16_500, 5.0);
        fleet.cut = BTreeSet::from([1]);
        fleet.run(20_000, 5.0);
        fleet.cut = BTreeSet::new();
        fleet.run(26_000, 5.0);
        let worst = fleet.worst_window();
        assert!(worst <= 1.0, "seed {seed}: {worst} of what is allowed");
    }
}

#[test]
fn daemons_that_all_restart_on_one_or_both_sides_of_a_cut_do_not_exceed_the_quota() {
    for seed in 0..10 {
        for restarted in [0..3, 3..8, 0..8] {
            let mut fleet = Fleet::new(seed);
            fleet.run(10_000, 0.5);
            fleet.cut = BTreeSet::from([0]);
            fleet.restart(restarted.clone());
            fleet.run(13_000, 0.5);
            fleet.run(30_000, 5.0);
            fleet.cut = BTreeSet::new();
            fleet.run(36_000, 5.0);
            let worst = fleet.worst_window();
            assert!(worst <= 1.0, "seed {seed}, {restarted:?}: {worst}");
        }
    }
}

#[test]
fn cuts_and_restarts_in_any_order_do_not_exceed_the_quota() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed);
        let mut story = ChaCha8Rng::seed_from_u64(seed);
        fleet.run(8_000, 0.5);
        while fleet.now_ms < 30_000 {
            let cut = (0..DOMAINS.len()).filter(|_| story.random_bool(0.25));
            fleet.cut = cut.collect();
            let part = story.random_range(0.0..0.4);
            let restarted = (0..PLACES.len()).filter(|_| story.random_bool(part));
            fleet.restart(restarted.collect::<Vec<_>>());
            let offered = if fleet.now_ms < 14_000 { 0.5 } else { 5.0 };
            fleet.run(fleet.now_ms + story.random_range(1_000..5_000), offered);
        }
        let worst = fleet.worst_window();
        assert!(worst <= 1.0, "seed {seed}: {worst} of what is allowed");
    }
}

#[test]
fn each_side_of_a_cut_still_serves_its_share_after_restarts() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        fleet.run(10_000, 0.5);
        fleet.cut = BTreeSet::from([0]);
        fleet.restart([1, 2, 4, 5]);
        fleet.run(20_000, 3.0);
        let served = fleet.admitted_between(12_000, 20_000) / (RATE * 8.0);
        assert!(served >= 0.85, "seed {seed}: {served} of the rate");
    }
}

#[test]
fn the_whole_rate_is_back_soon_after_a_cut_with_restarts() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        fleet.run(10_000, 0.5);
        fleet.cut = BTreeSet::from([0]);
        fleet.restart([1, 2, 4, 5]);
        fleet.run(16_000, 0.5);
        fleet.cut = BTreeSet::new();
        fleet.run(21_000, 3.0);
        let served = fleet.admitted_between(17_000, 21_000) / (RATE * 4.0);
        assert!(served >= 0.85, "seed {seed}: {served} of the rate");
    }
}

#[test]
fn a_failure_domain_without_daemons_reserves_nothing_once_hubs_are_old() {
    let mut fleet = Fleet::new(1);
    fleet.domains.push("d");
    fleet.run(SHARE_RESERVATION_MS + 1_000, 0.5);
    fleet.restart([0, 3]);
    let from_ms = fleet.now_ms + 2_000;
    fleet.run(from_ms + 8_000, 3.0);
    let served = fleet.admitted_between(from_ms + 4_000, from_ms + 8_000) / (RATE * 4.0);
    assert!(served >= 0.9, "{served} of the rate");
}

#[test]
fn all_daemons_that_restart_without_a_cut_have_the_whole_rate_at_once() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        fleet.run(10_000, 0.5);
        fleet.restart(0..8);
        fleet.run(20_000, 3.0);
        let served = fleet.admitted_between(11_000, 19_000) / (RATE * 8.0);
        assert!(served >= 0.9, "seed {seed}: {served} of the rate");
    }
}
