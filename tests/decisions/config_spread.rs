//! Which daemons are queried for a newer configuration, and when the shared source is read
//! instead.

use saddlepulley::{
    cluster::{DaemonEntry, Digest, PeerTable},
    names::ServiceName,
    policy::MissingConfig,
    routing::*,
};

fn entry(name: &str, domain: &str, port: u16) -> DaemonEntry {
    DaemonEntry {
        name: name.into(),
        domain: domain.into(),
        capacity: 1.0,
        address: ([10, 0, 0, 1], port).into(),
    }
}

/// Returns the digest of a daemon that has a version of the configuration.
fn digest(name: &str, domain: &str, port: u16, config_version: u64) -> Digest {
    let mut digest = Digest::new(entry(name, domain, port), 1, 1);
    digest.interval_ms = 250;
    digest.status.config_version = config_version;
    digest
}

fn table_in(domain: &str) -> PeerTable {
    PeerTable::new(entry("own", domain, 99))
}

fn ports(table: &PeerTable, version: u64) -> Vec<u16> {
    let holders = table.config_holders(version);
    holders.iter().map(|address| address.port()).collect()
}

const DAEMONS: [(&str, &str, u16, u64); 4] = [
    ("n1", "a", 1, 7),
    ("n2", "a", 2, 8),
    ("n3", "a", 3, 8),
    ("n4", "b", 4, 8),
];

#[test]
fn holders_of_the_newest_version_are_all_listed_and_the_own_domain_has_precedence() {
    let tables = ["a", "c"].map(|domain| {
        let mut table = table_in(domain);
        for (name, domain, port, version) in DAEMONS {
            table.apply_digest(digest(name, domain, port, version), 0);
        }
        table
    });
    assert_eq!(tables[0].newest_config(), Some(8));
    assert_eq!(
        ports(&tables[0], 7),
        [2, 3],
        "more than one daemon shares the load"
    );
    assert_eq!(ports(&tables[1], 7), [2, 3, 4]);
    assert!(
        ports(&tables[0], 8).is_empty(),
        "no daemon has a later version"
    );
}

#[test]
fn a_daemon_that_stopped_sending_digests_is_no_config_holder() {
    let mut table = table_in("a");
    table.apply_digest(digest("n1", "a", 1, 8), 0);
    table.apply_digest(digest("n2", "a", 2, 8), 2_000);
    table.tick(1, 2_000);
    assert_eq!(ports(&table, 7), [2]);
}

#[test]
fn a_follower_queries_daemons_immediately_and_the_source_if_none_answers() {
    let missing = MissingConfig::new(10_000);
    assert!(missing.queries_daemons(false, 10_000));
    assert!(!missing.needs_source(10_500));
    assert!(missing.needs_source(11_000));
}

#[test]
fn a_follower_does_not_read_the_source_while_busy_daemons_defer_it() {
    let mut missing = MissingConfig::new(10_000);
    for at_ms in (10_000..20_000).step_by(400) {
        missing.record_deferred(at_ms);
        assert!(!missing.needs_source(at_ms + 400));
    }
    assert!(
        missing.needs_source(21_000),
        "no daemon has deferred the query for a second"
    );
}

#[test]
fn a_reader_of_the_source_queries_daemons_only_if_its_own_read_takes_long() {
    let missing = MissingConfig::new(10_000);
    assert!(!missing.queries_daemons(true, 10_700));
    assert!(missing.queries_daemons(true, 10_800));
}

#[test]
fn a_recipient_listed_by_a_busy_daemon_becomes_a_config_holder_immediately() {
    let mut table = table_in("a");
    table.apply_digest(digest("n1", "a", 1, 8), 0);
    table.apply_digest(digest("n2", "a", 2, 7), 0);
    table.apply_peer_config(([10, 0, 0, 1], 2).into(), 8);
    assert_eq!(ports(&table, 7), [1, 2]);
    // Also a daemon that sends this one no digests.
    table.apply_peer_config(([10, 0, 0, 1], 9).into(), 8);
    assert_eq!(ports(&table, 7), [1, 2, 9]);
}

fn config(routes: usize) -> RoutingConfig {
    let route = |n: usize| Route {
        name: format!("route-{n}"),
        host: format!("h{}.example", n * 7_919),
        path_prefix: format!("/p{}/", n * 104_729),
        kind: RouteKind::Idempotent,
        timeout_ms: 600,
        target_latency_ms: 120,
        priority: 2,
        services: vec![WeightedService {
            service: ServiceName::from("lookup"),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        resumable: false,
        event_gap_ms: None,
    };
    RoutingConfig {
        version: 8,
        routes: (0..routes).map(route).collect(),
        ..RoutingConfig::default()
    }
}

#[test]
fn a_packed_configuration_survives_the_round_trip_and_is_much_smaller() {
    let config = config(4_200);
    let packed = pack_config(&config).unwrap();
    assert_eq!(unpack_config(&packed).unwrap(), config);
    let plain = serde_json::to_vec(&config).unwrap();
    assert!(packed.len() < plain.len() / 8, "{} bytes", packed.len());
}

#[test]
fn invalid_packed_configurations_are_refused() {
    let packed = pack_config(&config(10)).unwrap();
    assert!(unpack_config(&[]).is_err());
    assert!(unpack_config(&packed[..packed.len() / 2]).is_err());
    assert!(unpack_config(b"not packed").is_err());
}
