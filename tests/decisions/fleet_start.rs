//! Daemons of a whole fleet that start at the same moment find each other, and the few
//! seeds that all of them know are asked a few times by each, however many there are.
//!
//! Operators saw the seeds of 985 boxes busy with nothing but their answers for the whole
//! time between the start and the first traffic: each box asked each seed ten times a
//! second, and their links could not carry a tenth of the answers.

use {
    crate::cluster_support::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        cluster::*,
        policy::{HUBS_PER_DOMAIN, SeedBackoff},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

const DOMAINS: usize = 5;
const SEEDS: usize = 3;
/// One way between two daemons, and how long each of them waits until it looks what is
/// due, in milliseconds.
const STEP_MS: u64 = 50;
const LOOK_MS: u64 = 100;
const REPORT_MS: u64 = 500;
const DIGEST_MS: u64 = 250;
const STARTING_MS: u64 = 1_000;
/// How often a seed is asked by one daemon, on average over the fleet.
const MOST_ASKS: f64 = 2.0;

enum Message {
    Report(Report),
    Digest(Digest),
}

struct Daemon {
    table: PeerTable,
    backoff: SeedBackoff,
    /// How long after the first ones it starts.
    lag_ms: u64,
}

struct Fleet {
    daemons: Vec<Daemon>,
    by_address: HashMap<SocketAddr, usize>,
    on_their_way: Vec<(usize, Message)>,
    /// How often each seed was asked as a seed.
    asked: BTreeMap<usize, u32>,
    now_ms: u64,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(daemons: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let made = (0..daemons).map(|n| Daemon {
            table: PeerTable::new(entry(
                &format!("n{n}"),
                &format!("domain-{}", n % DOMAINS),
                n,
            )),
            backoff: SeedBackoff::new(rng.random()),
            lag_ms: rng.random_range(0..4) * STEP_MS,
        });
        Self {
            daemons: made.collect(),
            by_address: (0..daemons).map(|n| (address(n), n)).collect(),
            on_their_way: Vec::new(),
            asked: BTreeMap::new(),
            now_ms: 0,
            sequence: 0,
            rng,
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.on_their_way.push((self.by_address[&to], message));
    }

    fn report(&mut self, from: usize, to: SocketAddr, interval_ms: u64) {
        self.sequence += 1;
        let table = &self.daemons[from].table;
        let report = Report {
            daemon: table.own().clone(),
            incarnation: 1,
            sequence: self.sequence,
            interval_ms: interval_ms as u32,
            is_dependent: false,
            wants_digest: true,
            wants_all: true,
            status: DaemonStatus::default(),
            events: Vec::new(),
            admitted_standalone: Vec::new(),
            standalone_batch: 0,
        };
        self.send(to, Message::Report(report));
    }

    fn digest(&mut self, from: usize, domain: &str) -> Digest {
        self.sequence += 1;
        let table = &self.daemons[from].table;
        let mut digest = Digest::new(table.own().clone(), 1, self.sequence);
        digest.interval_ms = DIGEST_MS as u32;
        digest.status.is_hub = table.is_hub();
        digest.known = table.sample_daemons_for(domain, &mut self.rng);
        digest
    }

    fn apply(&mut self, own: usize, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Digest(digest) => {
                self.daemons[own].table.apply_digest(digest, now_ms);
            }
            Message::Report(report) => {
                self.daemons[own].table.apply_report(&report, now_ms);
                let mut answer = self.digest(own, &report.daemon.domain);
                answer.interval_ms = REPORT_MS as u32;
                self.send(report.daemon.address, Message::Digest(answer));
            }
        }
    }

    /// Lets a daemon do what is due.
    fn act(&mut self, own: usize) {
        let now_ms = self.now_ms;
        let age_ms = now_ms - self.daemons[own].lag_ms;
        if age_ms.is_multiple_of(LOOK_MS) {
            self.look_for_others(own, age_ms);
        }
        if age_ms.is_multiple_of(REPORT_MS) {
            self.report_to_hubs(own, REPORT_MS);
        }
        if age_ms.is_multiple_of(DIGEST_MS) {
            let table = &mut self.daemons[own].table;
            table.tick(1, now_ms);
            if table.is_hub() {
                let to = table.hub_addresses();
                let domain = table.own().domain.clone();
                let digest = self.digest(own, &domain);
                for to in to.into_iter().filter(|to| *to != address(own)) {
                    self.send(to, Message::Digest(digest.clone()));
                }
            }
        }
    }

    fn look_for_others(&mut self, own: usize, age_ms: u64) {
        let drawn = self.rng.random();
        let daemon = &mut self.daemons[own];
        if age_ms >= STARTING_MS && daemon.table.has_live_hubs() {
            return;
        }
        let Some(ask) = daemon.backoff.next_query(SEEDS, drawn, self.now_ms) else {
            return;
        };
        if ask.seed != own {
            *self.asked.entry(ask.seed).or_default() += 1;
            self.report(own, address(ask.seed), ask.interval_ms);
        }
        self.report_to_hubs(own, REPORT_MS);
    }

    fn report_to_hubs(&mut self, own: usize, interval_ms: u64) {
        let table = &self.daemons[own].table;
        if !table.is_hub() {
            for hub in table.own_hubs() {
                self.report(own, hub, interval_ms);
            }
        }
    }

    fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            for (to, message) in std::mem::take(&mut self.on_their_way) {
                self.apply(to, message);
            }
            for own in 0..self.daemons.len() {
                if self.now_ms >= self.daemons[own].lag_ms {
                    self.act(own);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Returns the hubs of a failure domain as they are, by rank.
    fn hubs(&self, domain: usize) -> Vec<SocketAddr> {
        let there = self.daemons.iter().map(|d| d.table.own());
        let mut there: Vec<_> = there
            .filter(|entry| entry.domain == format!("domain-{domain}"))
            .collect();
        there.sort_by_key(|entry| std::cmp::Reverse(entry.rank()));
        let hubs = there.into_iter().take(HUBS_PER_DOMAIN);
        hubs.map(|entry| entry.address).collect()
    }

    /// Returns how many daemons would not ask the first hub of their failure domain first.
    fn astray(&self) -> usize {
        let first: Vec<SocketAddr> = (0..DOMAINS).map(|domain| self.hubs(domain)[0]).collect();
        let daemons = self.daemons.iter().enumerate();
        let astray = daemons.filter(|(own, daemon)| {
            let first = first[own % DOMAINS];
            let hubs = daemon.table.own_hubs();
            address(*own) != first && hubs.first() != Some(&first)
        });
        astray.count()
    }
}

#[test]
fn a_fleet_that_starts_at_once_finds_its_hubs_and_spares_its_seeds() {
    for daemons in [100, 300, 1_000, 2_000] {
        let mut fleet = Fleet::new(daemons, 7);
        fleet.run(2_000);
        assert_eq!(fleet.astray(), 0, "of {daemons}, after 2 s");
        let busiest = fleet.asked.values().max().unwrap();
        let asks = f64::from(*busiest) / daemons as f64;
        assert!(
            asks <= MOST_ASKS,
            "{daemons} daemons: {asks} questions of each"
        );
    }
}

#[test]
fn a_seed_that_does_not_answer_is_asked_again_and_others_meanwhile() {
    let mut backoff = SeedBackoff::new(4);
    let mut asked = Vec::new();
    for now_ms in (0..10_000).step_by(50) {
        if let Some(ask) = backoff.next_query(3, 1, now_ms) {
            assert!(ask.interval_ms >= 700, "until it is asked again");
            asked.push((now_ms, ask.seed));
        }
    }
    let seeds: Vec<usize> = asked.iter().map(|(_, seed)| *seed).collect();
    assert_eq!(seeds[..6], [1, 2, 0, 1, 2, 0]);
    let pauses = asked.windows(2).map(|pair| pair[1].0 - pair[0].0);
    let pauses: Vec<u64> = pauses.collect();
    assert!(pauses.iter().all(|ms| *ms <= 1_600));
    assert!(*pauses.last().unwrap() >= 800);
    backoff.restart(10_000);
    assert!(backoff.next_query(3, 1, 10_000).is_some(), "at once");
    assert!(backoff.next_query(3, 1, 10_100).is_some());
    assert_eq!(backoff.next_query(0, 1, 20_000), None, "there are none");
}
