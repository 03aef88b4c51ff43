//! Which daemons keep the origins of streams. Answers the loss of failure domains, in which all of their
//! daemons end at once.

use {
    crate::cluster_support::{address, entry},
    saddlepulley::{cluster::*, policy::*},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

const STREAMS: u64 = 500;
const INTERVAL_MS: u32 = 250;

/// Hubs in failure domains, by the number of hubs in each.
fn hubs(in_domains: &[usize]) -> Vec<(SocketAddr, String)> {
    let domains = in_domains.iter().enumerate();
    let domains = domains.flat_map(|(domain, count)| vec![format!("d{domain}"); *count]);
    let numbered = domains.enumerate();
    numbered.map(|(n, domain)| (address(n), domain)).collect()
}

fn domains_of_keepers(key: u64, hubs: &[(SocketAddr, String)], own: &str) -> Vec<String> {
    let candidates: Vec<KeeperCandidate> = hubs
        .iter()
        .map(|(address, domain)| KeeperCandidate {
            address: *address,
            domain,
        })
        .collect();
    let keepers = choose_keepers(AttemptKey(key), own, &candidates);
    let distinct: BTreeSet<&SocketAddr> = keepers.iter().collect();
    assert_eq!(distinct.len(), keepers.len(), "{keepers:?}");
    let by_address: BTreeMap<&SocketAddr, &String> = hubs.iter().map(|(a, d)| (a, d)).collect();
    keepers.iter().map(|k| by_address[k].clone()).collect()
}

/// Guards against streams at two versions: all that knew a stream ended with its failure domain.
#[test]
fn the_keepers_of_a_stream_do_not_end_with_its_failure_domain() {
    for in_domains in [&[3, 3, 2][..], &[1, 1, 1], &[3; 15], &[8, 8, 8]] {
        let hubs = hubs(in_domains);
        for key in 0..STREAMS {
            let domains = domains_of_keepers(key, &hubs, "d0");
            assert_eq!(domains[0], "d0", "a cut-off domain needs one of its own");
            let distinct: BTreeSet<&String> = domains.iter().collect();
            assert_eq!(distinct.len(), 3, "{domains:?}");
        }
    }
}

#[test]
fn where_there_are_fewer_domains_the_keepers_are_distinct_daemons() {
    let of = |in_domains: &[usize], own: &str| domains_of_keepers(7, &hubs(in_domains), own);
    assert_eq!(of(&[3, 2], "d0"), ["d0", "d1", "d1"]);
    assert_eq!(of(&[3, 1], "d0"), ["d0", "d1", "d0"]);
    assert_eq!(of(&[3, 3], "elsewhere").len(), 3);
    assert_eq!(of(&[5], "d0"), ["d0"; 3]);
    assert_eq!(of(&[1], "d0"), ["d0"]);
    assert!(of(&[], "d0").is_empty());
}

#[test]
fn streams_are_spread_over_the_hubs_of_all_other_domains() {
    let hubs = hubs(&[3; 15]);
    let mut count: BTreeMap<String, u64> = BTreeMap::new();
    for key in 0..STREAMS {
        for domain in domains_of_keepers(key, &hubs, "d0") {
            *count.entry(domain).or_default() += 1;
        }
    }
    assert_eq!(count.remove("d0"), Some(STREAMS));
    let mean = 2 * STREAMS / 14;
    assert_eq!(count.len(), 14);
    assert!(count.values().all(|n| (mean / 2..mean * 2).contains(n)));
}

fn digest(name: &str, domain: &str, n: usize, sequence: u64) -> Digest {
    let mut digest = Digest::new(entry(name, domain, n), 1, sequence);
    digest.interval_ms = INTERVAL_MS;
    digest.status.is_hub = true;
    digest
}

/// Guards against keepers that are gone: hubs that are silent were told of streams as long as they were known.
#[test]
fn hubs_that_are_silent_or_leaving_keep_no_streams() {
    let mut table = PeerTable::new(entry("own", "a", 0));
    for (n, domain) in [(1, "a"), (2, "b"), (3, "c"), (4, "d")] {
        table.apply_digest(digest(&format!("n{n}"), domain, n, 1), 0);
    }
    let mut leaving = digest("n3", "c", 3, 2);
    leaving.status.is_leaving = true;
    table.apply_digest(leaving, 10);
    let keepers = |table: &PeerTable| -> BTreeSet<SocketAddr> {
        table.origin_keepers(AttemptKey(1)).into_iter().collect()
    };
    assert_eq!(
        keepers(&table),
        BTreeSet::from([address(1), address(2), address(4)])
    );
    let later_ms = u64::from(INTERVAL_MS) * 4;
    for (n, domain) in [(1, "a"), (4, "d")] {
        table.apply_digest(digest(&format!("n{n}"), domain, n, 3), later_ms);
    }
    table.tick(1, later_ms);
    assert_eq!(keepers(&table), BTreeSet::from([address(1), address(4)]));
    let (near, far) = table.origin_daemons();
    assert_eq!(near, [address(1)]);
    assert!(
        far.contains(&address(2)),
        "a silent one may only be cut off"
    );
}
