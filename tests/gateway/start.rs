//! What daemons do when many of them start together.
//!
//! A daemon that is among the first of those that it knows reads the store, as it
//! should, so how many do while all start depends on their order: of these twelve,
//! each knowing all that started before it, 8 in the order of their numbers, 2 if
//! those that rank first come first (`decisions/sources`). Here they do: started at
//! once in the order of their numbers, 7 of 12 read once on a busy machine.

use {
    crate::{store_support::*, support::*},
    saddlepulley::policy::DaemonRank,
};

const NAMES: [&str; 12] = [
    "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12",
];
/// How many read the store: two of a failure domain.
const READERS: u64 = 2;
/// Longer than a busy machine may keep an answer from a daemon.
const PATIENCE_MS: u64 = 15_000;

#[tokio::test]
async fn daemons_that_start_together_ask_their_seeds_before_the_store() {
    let store = filled_store().await;
    let mut names = NAMES;
    names.sort_by_key(|name| std::cmp::Reverse(DaemonRank::new(name, 1.0)));
    let mut daemons: Vec<GatewayDaemon> = Vec::new();
    for name in names {
        let seeds: Vec<&GatewayDaemon> = daemons.iter().take(2).collect();
        let daemon = patient_daemon(name, &store, &seeds, PATIENCE_MS);
        if daemons.len() < READERS as usize {
            daemon.wait_ready().await;
        }
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_ready().await;
    }
    for topic in ["keyed.op", "keyed.servers"] {
        let listings = store.listings(topic);
        assert!(listings <= READERS, "{topic}: {listings}");
    }
}
