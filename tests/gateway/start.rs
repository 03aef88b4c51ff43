//! What daemons do when many of them start together.

use crate::{store_support::*, support::*};

const NAMES: [&str; 12] = [
    "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12",
];

#[tokio::test]
async fn daemons_that_start_together_ask_their_seeds_before_the_store() {
    let store = filled_store().await;
    let mut daemons: Vec<GatewayDaemon> = Vec::new();
    for name in NAMES {
        let seeds: Vec<&GatewayDaemon> = daemons.iter().take(3).collect();
        daemons.push(daemon(name, &store, &seeds));
    }
    for daemon in &daemons {
        daemon.wait_ready().await;
    }
    // Two read, the first one had nobody to ask, and while all start a few more
    // may take themselves for readers.
    for topic in ["keyed.op", "keyed.servers"] {
        let listings = store.listings(topic);
        assert!(listings <= NAMES.len() as u64 / 2, "{topic}: {listings}");
    }
}
