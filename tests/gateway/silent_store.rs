//! A store that stops answering for a while but keeps its connections open.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    saddlepulley_standin::store::Store,
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Time after a disruption of the store within which a daemon has to be up to date again.
const UP_TO_DATE_AFTER: Duration = Duration::from_secs(3);
/// How long the store is silent before the read whose answer is lost.
const SILENCE: Duration = Duration::from_secs(4);

async fn fall_silent(store: &Store) {
    store.set_silent(true);
    tokio::time::sleep(SILENCE).await;
    // The worst moment for the store to return: a read has just begun that gets no answer.
    timeout(SILENCE, store.next_read("keyed.op"))
        .await
        .expect("a read of the configuration");
}

#[tokio::test]
async fn a_read_that_began_while_the_store_was_silent_does_not_delay_the_next_configuration() {
    let store = filled_store().await;
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    fall_silent(&store).await;
    store.set_silent(false);
    let back = Instant::now();
    store.put("keyed.op", "config", &config(4, "/next/"));
    eventually("in force", async || {
        fetch(&daemon, "/next/x").await == StatusCode::OK
    })
    .await;
    let after = back.elapsed();
    assert!(after < UP_TO_DATE_AFTER, "in force after {after:?}");
}
