//! What daemons tell each other fits into datagrams, is checked, and reaches all
//! of a large system.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        cluster::*,
        names::{ClientAccount, UpstreamId},
        policy::{
            DaemonRank, HUBS_PER_DOMAIN, HubContact, LoneQuota, QuotaLimit, ToldQuota, UsageWindows,
        },
    },
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
    },
};

fn entry(name: &str, domain: &str, daemon: usize) -> DaemonEntry {
    DaemonEntry {
        name: name.into(),
        domain: domain.into(),
        capacity: 0.25,
        address: address(daemon),
    }
}

fn address(daemon: usize) -> SocketAddr {
    let [high, low] = (daemon as u16).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_229))
}

fn digest_of(name: &str, sequence: u64) -> Digest {
    let mut digest = Digest::new(entry(name, "a", 7), 1, sequence);
    digest.every_ms = 250;
    digest
}

fn told_account(account: usize) -> ToldAccount {
    ToldAccount {
        name: format!("tenant-{account}"),
        weight: 1e5,
        admitted: 1e9,
        level: 1e5,
        demand: 1e6,
    }
}

#[test]
fn a_datagram_is_the_same_after_its_way() {
    let mut digest = digest_of("edge-zone-a-17", 99);
    digest.known = (0..MAX_DIGEST_DAEMONS)
        .map(|n| entry("edge-zone-b-1234", "zone-b", n))
        .collect();
    digest.demand = vec![("llm-pool".into(), 1e6); 4];
    digest.reading = vec![("llm-pool".into(), 0.03, 192); 4];
    let sent = Datagram::Digest(digest);
    let bytes = sent.encode().unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(Datagram::decode(&bytes).unwrap(), sent);
}

#[test]
fn what_does_not_fit_is_split_and_nothing_is_left_out() {
    let parts = in_parts((0..300).map(told_account).collect());
    let told: usize = parts.iter().map(Vec::len).sum();
    assert_eq!(told, 300);
    for quotas in parts {
        let part = Datagram::Quotas(QuotasPart {
            name: "edge-zone-a-17".into(),
            life: u64::MAX,
            sequence: 1,
            age_ms: 1,
            quotas,
        });
        assert!(part.encode().unwrap().len() <= MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn what_is_no_datagram_of_ours_is_refused() {
    assert!(Datagram::decode(&[]).is_err());
    let mut bytes = Datagram::Digest(digest_of("n", 1)).encode().unwrap();
    assert!(Datagram::decode(&bytes[..bytes.len() / 2]).is_err());
    bytes[0] = 9;
    let error = Datagram::decode(&bytes).unwrap_err().to_string();
    assert!(error.contains("version 9"), "{error}");
}

fn loads_part(sequence: u64, part: u32, parts: u32, upstreams: &[&str]) -> LoadsPart {
    let loads = upstreams.iter().map(|id| ToldLoad {
        upstream: (*id).into(),
        active: 30,
        waiting_tokens: 500,
    });
    LoadsPart {
        name: "n".into(),
        life: 1,
        sequence,
        part,
        parts,
        counted: sequence,
        loads: loads.collect(),
    }
}

#[test]
fn loads_change_once_all_of_their_parts_are_there() {
    let mut told = ToldLoads::default();
    assert!(told.hear(loads_part(1, 0, 1, &["u1", "u2"])));
    assert!(!told.hear(loads_part(2, 1, 2, &["u4"])));
    assert_eq!(told.loads.len(), 2, "the last whole counts");
    assert!(told.hear(loads_part(2, 0, 2, &["u3"])));
    let mut sums = LoadSums::new();
    told.add_to(&mut sums);
    let ids: HashSet<&str> = sums.keys().map(UpstreamId::as_str).collect();
    assert_eq!(ids, HashSet::from(["u3", "u4"]));
    assert!(!told.hear(loads_part(1, 0, 1, &["u1"])), "an older one");
}

#[test]
fn a_hub_is_silent_after_some_of_its_own_periods_and_its_part_stays_its_own() {
    let mut peers = PeerTable::new(entry("own", "a", 1));
    assert!(peers.hear_digest(digest_of("n", 1), 1_000));
    assert!(
        !peers.hear_digest(digest_of("n", 1), 1_100),
        "the same one again"
    );
    let quotas = QuotasPart {
        name: "n".into(),
        life: 1,
        sequence: 1,
        age_ms: 0,
        quotas: vec![told_account(1)],
    };
    assert!(peers.hear_quotas(&quotas, 1_000));
    assert!(peers.hear_loads(&loads_part(1, 0, 1, &["u1"])));
    let silent = |peers: &PeerTable| peers.quota_daemons().values().flatten().any(|d| d.silent);
    let loads = |peers: &PeerTable| {
        let mut sums = LoadSums::new();
        peers.add_loads(&mut sums);
        sums.len()
    };
    peers.tick(1, 1_500);
    assert!(!silent(&peers));
    peers.tick(1, 1_800);
    assert!(silent(&peers));
    assert_eq!(loads(&peers), 1, "loads still count");
    peers.tick(1, 2_100);
    assert_eq!(loads(&peers), 0);
    assert_eq!(peers.daemons(), 2, "its part is reserved");
    peers.tick(1, 40_000);
    assert_eq!(peers.daemons(), 1);
}

#[test]
fn a_hub_that_tells_seldom_is_not_silent_for_that() {
    let mut peers = PeerTable::new(entry("own", "a", 1));
    let mut digest = digest_of("n", 1);
    digest.every_ms = 3_750;
    peers.hear_digest(digest, 1_000);
    peers.tick(1, 8_000);
    assert_eq!(peers.live_addresses(), [address(7)]);
}

#[test]
fn what_a_dead_hub_let_in_goes_over_to_the_one_that_is_asked_in_its_place() {
    let mut peers = PeerTable::new(entry("own", "a", 1));
    let mut digest = digest_of("n", 1);
    digest.leaning = 50;
    peers.hear_digest(digest, 1_000);
    let quotas = QuotasPart {
        name: "n".into(),
        life: 1,
        sequence: 1,
        age_ms: 0,
        quotas: vec![told_account(1)],
    };
    peers.hear_quotas(&quotas, 1_000);
    let others = |peers: &PeerTable| {
        peers
            .quota_daemons()
            .remove(&ClientAccount::from("tenant-1"))
    };
    peers.tick(1, 1_900);
    assert!(others(&peers).unwrap()[0].silent, "nobody came over");
    peers.tick(40, 1_900);
    let other = others(&peers).unwrap().remove(0);
    assert!(other.replaced && !other.late && !other.silent);
    // Elsewhere the same shows in what the one in its place tells.
    let mut far = PeerTable::new(entry("far", "b", 2));
    let mut digest = digest_of("n", 1);
    digest.leaning = 50;
    far.hear_digest(digest, 1_000);
    far.hear_quotas(&quotas, 1_000);
    let mut next = Digest::new(entry("next", "a", 3), 1, 1);
    (next.leaning, next.every_ms) = (40, 250);
    far.hear_digest(next, 1_800);
    far.tick(1, 1_900);
    assert_eq!(others(&far), None);
}

/// Daemons that know three seeds, and only what they are told.
struct Cluster {
    tables: Vec<PeerTable>,
    down: HashSet<usize>,
    now_ms: u64,
    sequence: u64,
    rng: ChaCha8Rng,
}

const SEEDS: usize = 3;
const DOMAINS: usize = 5;
const ROUND_MS: u64 = 250;

impl Cluster {
    fn new(daemons: usize) -> Self {
        let tables = (0..daemons).map(|n| {
            let domain = format!("domain-{}", n % DOMAINS);
            PeerTable::new(entry(&format!("n{n}"), &domain, n))
        });
        Self {
            tables: tables.collect(),
            down: HashSet::new(),
            now_ms: 0,
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    fn index(address: SocketAddr) -> usize {
        (0..u16::MAX as usize)
            .find(|n| self::address(*n) == address)
            .unwrap()
    }

    fn digest(&mut self, from: usize, for_domain: &str) -> Digest {
        self.sequence += 1;
        let table = &self.tables[from];
        let mut digest = Digest::new(table.own().clone(), 1, self.sequence);
        digest.every_ms = 2 * ROUND_MS as u32;
        digest.status.is_hub = table.is_hub();
        digest.known = table.named_for(for_domain, &mut self.rng);
        digest
    }

    fn report(&mut self, from: usize, to: usize) {
        if self.down.contains(&to) || from == to {
            return;
        }
        self.sequence += 1;
        let daemon = self.tables[from].own().clone();
        let domain = daemon.domain.clone();
        let report = Report {
            daemon,
            life: 1,
            sequence: self.sequence,
            every_ms: 2 * ROUND_MS as u32,
            leans_on_you: true,
            wants_digest: true,
            wants_all: true,
            status: DaemonStatus {
                is_hub: self.tables[from].is_hub(),
                ..DaemonStatus::default()
            },
            events: Vec::new(),
            alone: Vec::new(),
            alone_batch: 0,
        };
        self.tables[to].hear_report(&report, self.now_ms);
        let answer = self.digest(to, &domain);
        self.tables[from].hear_digest(answer, self.now_ms);
    }

    /// Lets each daemon tell what it has to.
    fn round(&mut self) {
        self.now_ms += ROUND_MS;
        for from in (0..self.tables.len())
            .filter(|n| !self.down.contains(n))
            .collect::<Vec<_>>()
        {
            self.tables[from].tick(1, self.now_ms);
            if !self.tables[from].hears_hubs() || self.now_ms < 1_000 {
                (0..SEEDS).for_each(|seed| self.report(from, seed));
            }
            if self.tables[from].is_hub() {
                let domain = self.tables[from].own().domain.clone();
                let digest = self.digest(from, &domain);
                let mut to = self.tables[from].hub_addresses();
                to.extend((0..SEEDS).map(address));
                for to in to.into_iter().map(Self::index) {
                    if to != from && !self.down.contains(&to) {
                        self.tables[to].hear_digest(digest.clone(), self.now_ms);
                    }
                }
            } else {
                for hub in self.tables[from].own_hubs() {
                    self.report(from, Self::index(hub));
                }
            }
        }
    }

    /// Returns the hubs by failure domain, by what each daemon thinks of itself.
    fn hubs(&self) -> BTreeMap<String, Vec<usize>> {
        let mut hubs: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (n, table) in self.tables.iter().enumerate() {
            if table.is_hub() && !self.down.contains(&n) {
                hubs.entry(table.own().domain.clone()).or_default().push(n);
            }
        }
        hubs
    }
}

#[test]
fn three_hundred_daemons_that_start_together_soon_agree_on_their_hubs() {
    let mut cluster = Cluster::new(300);
    (0..12).for_each(|_| cluster.round());
    let hubs = cluster.hubs();
    assert_eq!(hubs.len(), DOMAINS);
    assert!(
        hubs.values().all(|h| h.len() == HUBS_PER_DOMAIN),
        "{hubs:?}"
    );
    for (n, table) in cluster.tables.iter().enumerate() {
        if table.is_hub() {
            assert!(table.hub_addresses().len() >= DOMAINS * HUBS_PER_DOMAIN - 1);
        } else {
            let there: Vec<SocketAddr> = hubs[&table.own().domain]
                .iter()
                .map(|h| address(*h))
                .collect();
            let known: HashSet<_> = table.own_hubs().into_iter().collect();
            assert_eq!(known, there.into_iter().collect(), "daemon {n}");
        }
    }
}

#[test]
fn after_the_loss_of_all_hubs_of_a_domain_others_take_their_place() {
    let mut cluster = Cluster::new(100);
    (0..12).for_each(|_| cluster.round());
    let lost = cluster.hubs().remove("domain-4").unwrap();
    cluster.down.extend(lost.iter().copied());
    (0..16).for_each(|_| cluster.round());
    let hubs = cluster.hubs().remove("domain-4").unwrap();
    assert_eq!(hubs.len(), HUBS_PER_DOMAIN);
    let far = &cluster.tables[cluster.hubs()["domain-0"][0]];
    let known = far.hub_addresses();
    assert!(hubs.iter().all(|h| known.contains(&address(*h))));
}

#[test]
fn larger_boxes_come_first() {
    let large = DaemonRank::new("n1", 0.5);
    assert!((0..50).all(|n| large > DaemonRank::new(&format!("s{n}"), 0.12)));
}

fn report(sequence: u64, events: &[(u64, MemberEvent)], alone: u64) -> Report {
    Report {
        daemon: entry("m", "a", 9),
        life: 1,
        sequence,
        every_ms: 500,
        leans_on_you: true,
        wants_digest: false,
        wants_all: false,
        status: DaemonStatus::default(),
        events: events.to_vec(),
        alone: vec![("t".into(), 100.0)],
        alone_batch: alone,
    }
}

#[test]
fn what_a_report_tells_twice_is_taken_in_once() {
    let mut members = MemberTable::default();
    let event = |n: u64| {
        let upstream = format!("u{n}");
        (n, MemberEvent::Unreachable { upstream })
    };
    let news = members.hear_report(&report(1, &[event(1)], 1), 0);
    assert_eq!((news.events.len(), news.alone.len()), (1, 1));
    let news = members.hear_report(&report(2, &[event(1), event(2)], 1), 100);
    assert_eq!(news.events, [event(2).1]);
    assert!(news.alone.is_empty());
    assert_eq!(members.leaning(), 2);
    members.tick(3_000);
    assert_eq!(members.leaning(), 1, "it fell silent");
}

fn ask(id: u64) -> Ask {
    Ask {
        name: "n".into(),
        life: 1,
        id,
        request: "r".into(),
        quota: None,
        place: AskedPlace {
            service: "s".into(),
            target_ms: 100,
            tokens_in: Some(10),
            tokens_out: 5,
            parts: Vec::new(),
            tried: Vec::new(),
            avoided: Vec::new(),
        },
    }
}

#[test]
fn a_placement_counts_from_the_answer_until_a_report_counts_it_in() {
    let mut members = MemberTable::default();
    let placed = Verdict::Placed {
        upstream: "u1".into(),
        unread_tokens: 700,
        waiting_tokens: 0,
    };
    let first = members.known_answer(&ask(5), 0);
    assert_eq!(first, None);
    members.note_answer(&ask(5), &placed, 0);
    assert_eq!(members.known_answer(&ask(5), 10), Some(placed));
    let waiting = |members: &MemberTable| {
        let mut sums = LoadSums::new();
        members.add_loads(&mut sums);
        sums.get("u1").copied()
    };
    assert_eq!(waiting(&members), Some((1, 700)));
    members.hear_loads(loads_part(4, 0, 1, &["u1"]), 20);
    assert_eq!(waiting(&members), Some((31, 1_200)), "not counted in yet");
    members.hear_loads(loads_part(5, 0, 1, &["u1"]), 40);
    assert_eq!(waiting(&members), Some((30, 500)));
}

#[test]
fn usage_of_300_daemons_and_40_accounts_reaches_the_holder_whole() {
    let mut holder = UsageWindows::default();
    let mut true_total = 0;
    for daemon in 0..300_usize {
        let mut own = UsageWindows::default();
        let mut teller = UsageTeller::default();
        for n in 0..60 {
            let account = ClientAccount::from(format!("tenant-{}", (daemon + n) % 40).as_str());
            own.note(7 + n as u64 % 2, &account);
        }
        true_total += 30;
        let name = format!("n{daemon}");
        let holder_at = (address(0), 99);
        // Each third datagram is lost.
        for round in 0..8 {
            let parts = teller.parts((&name, 1), holder_at, &own.newest(8), 9);
            for (n, part) in parts.into_iter().enumerate() {
                if (n + round + daemon) % 3 == 0 {
                    continue;
                }
                let number = part.number;
                let counts = part.counts.iter();
                let counts = counts.map(|(a, n)| (a.as_str().into(), u64::from(*n)));
                holder.merge(&name, 1, &[(part.window, counts.collect())]);
                holder.note_whole(&name, part.whole_before, 1_000);
                teller.hear(
                    address(0),
                    UsageHeard {
                        holder_life: 99,
                        life: 1,
                        number,
                    },
                );
            }
        }
    }
    let total: u64 = holder.total(7).values().sum();
    assert_eq!(total, true_total);
    assert_eq!(holder.told_whole(8, 0), (300, true));
    assert_eq!(holder.told_whole(9, 0), (300, false), "it is not over");
}

#[test]
fn a_new_holder_of_the_duties_is_told_all_again() {
    let mut own = UsageWindows::default();
    own.note(7, &ClientAccount::from("t"));
    let mut teller = UsageTeller::default();
    let heard = |parts: &[UsagePart], life| UsageHeard {
        holder_life: life,
        life: 1,
        number: parts[0].number,
    };
    let parts = teller.parts(("n", 1), (address(0), 5), &own.newest(8), 7);
    teller.hear(address(0), heard(&parts, 5));
    let again = teller.parts(("n", 1), (address(0), 5), &own.newest(8), 7);
    assert!(again.is_empty(), "it has heard all: {again:?}");
    let parts = teller.parts(("n", 1), (address(1), 6), &own.newest(8), 7);
    assert_eq!(parts[0].counts, [("t".to_string(), 1)]);
}

#[test]
fn a_hub_that_does_not_answer_is_left_alone_for_a_while() {
    let mut contact = HubContact::default();
    assert!(contact.timeout_ms() >= 20.0);
    (0..20).for_each(|_| contact.note_answer(1.0));
    assert!(contact.timeout_ms() <= 20.0);
    contact.note_silent(1_000);
    assert!(contact.is_avoided(1_100));
    assert!(!contact.is_avoided(2_000));
    contact.note_silent(2_000);
    contact.note_heard();
    assert!(!contact.is_avoided(2_001));
}

#[test]
fn a_daemon_alone_lets_in_its_part_and_no_more() {
    let limit = QuotaLimit {
        rate: 1_000.0,
        burst: 1_000.0,
        slack: 0.0,
    };
    let told = ToldQuota {
        level: 1_000.0,
        demand: 500.0,
        at_ms: 0,
    };
    let mut quota = LoneQuota::default();
    assert!(
        quota.admit(400.0, 250.0, told, &limit, 0),
        "half of what is left"
    );
    assert!(!quota.admit(400.0, 250.0, told, &limit, 100));
    let mut other = LoneQuota::default();
    assert!(!other.admit(400.0, 50.0, told, &limit, 0), "a tenth of it");
}
