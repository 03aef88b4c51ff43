//! What daemons tell each other fits into a datagram and is checked.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    saddlepulley::{cluster::*, names::BoxId},
    std::{collections::HashSet, net::SocketAddr},
};

fn digest(tenants: usize, loads: usize, peers: usize) -> Digest {
    let address = "10.1.2.3:8229".parse().unwrap();
    let mut digest = Digest::new(&BoxId::from("edge-zone-a-17"), u64::MAX, 99, address);
    let tenant = |n: usize| format!("tenant-{n}");
    digest.quotas = (0..tenants).map(|n| (tenant(n), 1e5, 1e9, 1e5)).collect();
    let counts: Vec<_> = (0..tenants).map(|n| (tenant(n), 4_000)).collect();
    digest.usage = vec![(354_915_479, counts.clone()), (354_915_478, counts)];
    digest.loads = (0..loads)
        .map(|n| (format!("i-{n:010x}"), 30, n as u32 * 100))
        .collect();
    digest.peers = vec![address; peers];
    digest
}

#[test]
fn a_digest_is_the_same_after_its_way() {
    let sent = digest(5, 12, 7);
    let mut heard = Digest::decode(&sent.clone().encode().unwrap()).unwrap();
    heard.loads.sort();
    let mut loads = sent.loads.clone();
    loads.sort();
    assert_eq!(heard.loads, loads);
    assert_eq!((heard.quotas, heard.usage), (sent.quotas, sent.usage));
}

#[test]
fn a_digest_of_a_large_system_leaves_out_the_smallest_loads() {
    let bytes = digest(16, 1_500, 360).encode().unwrap();
    assert!(bytes.len() <= MAX_DIGEST_BYTES);
    let heard = Digest::decode(&bytes).unwrap();
    assert_eq!(heard.quotas.len(), 16, "what quotas rest on is all there");
    assert_eq!(heard.loads[0].2, 149_900, "the largest load first");
}

#[test]
fn what_is_no_digest_is_refused() {
    assert!(Digest::decode(&[]).is_err());
    let mut bytes = digest(1, 1, 1).encode().unwrap();
    assert!(Digest::decode(&bytes[..bytes.len() / 2]).is_err());
    bytes[0] = 9;
    let error = Digest::decode(&bytes).unwrap_err().to_string();
    assert!(error.contains("version 9"), "{error}");
}

#[test]
fn a_daemon_is_silent_after_some_digests_and_its_part_stays_its_own() {
    let mut peers = PeerTable::default();
    assert!(peers.hear(digest(1, 3, 0), 1_000));
    assert!(!peers.hear(digest(1, 3, 0), 1_100), "the same one again");
    let silent = |peers: &PeerTable| peers.quota_daemons().values().flatten().any(|d| d.silent);
    peers.tick(1_500);
    assert!(!silent(&peers));
    peers.tick(1_800);
    assert!(silent(&peers));
    assert!(
        peers.loads().values().all(|(active, _)| *active == 30),
        "loads still count"
    );
    peers.tick(2_100);
    assert!(peers.loads().is_empty());
    assert_eq!(peers.known(), 1, "its part is reserved");
    peers.tick(40_000);
    assert_eq!(peers.known(), 0);
}

/// Daemons that know three seeds and tell each other which others they know.
struct Cluster {
    tables: Vec<PeerTable>,
    known: Vec<HashSet<SocketAddr>>,
    rng: ChaCha8Rng,
}

const SEEDS: usize = 3;
const ROUND_MS: u64 = 1_000;

impl Cluster {
    fn new(daemons: usize) -> Self {
        Self {
            tables: (0..daemons).map(|_| PeerTable::default()).collect(),
            known: (0..daemons)
                .map(|_| (0..SEEDS).map(address).collect())
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Lets each daemon tell all that it knows.
    fn round(&mut self, sequence: u64) {
        let now_ms = sequence * ROUND_MS;
        for from in 0..self.tables.len() {
            self.tables[from].tick(now_ms);
            let mut digest = Digest::new(
                &BoxId::from(format!("n{from}").as_str()),
                1,
                sequence,
                address(from),
            );
            digest.peers = self.tables[from].sample(MAX_DIGEST_PEERS, &mut self.rng);
            let mut to = self.tables[from].addresses();
            to.extend(&self.known[from]);
            for (index, table) in self.tables.iter_mut().enumerate() {
                if index != from && to.contains(&address(index)) {
                    table.hear(digest.clone(), now_ms);
                }
            }
        }
    }

    fn least_known(&self) -> usize {
        self.tables.iter().map(PeerTable::known).min().unwrap()
    }
}

fn address(daemon: usize) -> SocketAddr {
    let [high, low] = (daemon as u16).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_229))
}

#[test]
fn in_a_large_system_every_daemon_soon_knows_all_others() {
    let mut cluster = Cluster::new(100);
    for sequence in 1..=6 {
        cluster.round(sequence);
    }
    assert_eq!(cluster.least_known(), 99);
}
