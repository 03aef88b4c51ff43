//! The cost of handling a message or a query does not depend on the number of daemons.

use {
    crate::cluster_support::*, rand::SeedableRng, rand_chacha::ChaCha8Rng, saddlepulley::cluster::*,
};

const SIZES: [usize; 4] = [100, 300, 1_000, 2_000];
const DOMAINS: usize = 5;
/// Peers of one failure domain: its hubs and as many daemons that rank next.
const MAX_OF_DOMAIN: u64 = 6;
/// The hubs of all failure domains, found by rank and by what they announce.
const MAX_HUBS: u64 = 30;

fn domain(n: usize) -> String {
    format!("domain-{}", n % DOMAINS)
}

fn report(n: usize, sequence: u64) -> Report {
    Report {
        daemon: entry(&format!("n{n}"), &domain(n), n),
        incarnation: 1,
        sequence,
        interval_ms: 500,
        is_dependent: true,
        wants_digest: true,
        wants_all: true,
        status: DaemonStatus::default(),
        events: Vec::new(),
        admitted_standalone: Vec::new(),
        standalone_batch: 0,
    }
}

/// Creates the table of a daemon that gets reports from all others, as a seed does.
fn seed_table(daemons: usize) -> PeerTable {
    let mut table = PeerTable::new(entry("n0", &domain(0), 0));
    for n in 1..daemons {
        table.apply_report(&report(n, 1), 1_000);
    }
    table.tick(1, 1_000);
    table
}

/// Returns how many peers a table examines for a query.
fn examined<T>(table: &PeerTable, query: impl FnOnce(&PeerTable) -> T) -> u64 {
    let before = table.examined();
    query(table);
    table.examined() - before
}

#[test]
fn queries_about_hubs_and_daemons_cost_the_same_in_any_fleet() {
    for daemons in SIZES {
        let table = seed_table(daemons);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let named = examined(&table, |t| t.sample_daemons_for(&domain(3), &mut rng));
        assert!(named <= MAX_OF_DOMAIN + MAX_HUBS, "{daemons}: {named}");
        let is_hub = examined(&table, |t| t.is_hub());
        assert!(is_hub <= MAX_OF_DOMAIN, "{daemons}: {is_hub}");
        let own_hubs = examined(&table, |t| t.own_hubs());
        assert!(own_hubs <= MAX_OF_DOMAIN, "{daemons}: {own_hubs}");
        let hubs = examined(&table, |t| t.hub_addresses());
        assert!(hubs <= MAX_HUBS, "{daemons}: {hubs}");
        let known = examined(&table, |t| t.daemons());
        assert!(known <= MAX_HUBS, "{daemons}: {known}");
        let holders = examined(&table, |t| t.duty_daemons());
        assert!(holders <= MAX_HUBS, "{daemons}: {holders}");
        let wants = examined(&table, |t| t.wants_digest(address(9), 600));
        assert!(wants <= 1, "{daemons}: {wants}");
    }
}

#[test]
fn applying_a_report_or_digest_costs_the_same_in_any_fleet() {
    for daemons in SIZES {
        let mut table = seed_table(daemons);
        let before = table.examined();
        assert!(table.apply_report(&report(9, 2), 1_100));
        let digest = digest_of("n7", 1);
        assert!(table.apply_digest(digest, 1_100));
        assert_eq!(table.examined(), before, "{daemons}");
    }
}

#[test]
fn silent_daemons_are_not_examined_again_and_again() {
    let mut table = seed_table(2_000);
    table.apply_report(&report(9, 2), 10_000);
    table.tick(1, 10_000);
    let is_hub = examined(&table, |t| t.is_hub());
    assert!(is_hub <= MAX_OF_DOMAIN, "{is_hub}");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let named = table.sample_daemons_for(&domain(9), &mut rng);
    let names: Vec<&str> = named.iter().map(|entry| entry.name.as_str()).collect();
    assert_eq!(names, ["n9"], "only this one has sent a report since");
}

#[test]
fn a_daemon_that_moved_or_left_is_not_found_at_its_old_place() {
    let mut table = seed_table(100);
    let mut moved = report(8, 2);
    moved.daemon.domain = "elsewhere".into();
    moved.daemon.address = address(500);
    assert!(table.apply_report(&moved, 1_100));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let named = table.sample_daemons_for("elsewhere", &mut rng);
    assert_eq!(named[0].address, address(500));
    let mut leaving = moved.clone();
    leaving.sequence = 3;
    leaving.status.is_leaving = true;
    assert!(table.apply_report(&leaving, 1_200));
    let named = table.sample_daemons_for("elsewhere", &mut rng);
    assert!(named.iter().all(|entry| entry.domain != "elsewhere"));
    assert!(
        table.wants_digest(address(8), 0),
        "it no longer has this address"
    );
}
