//! Entries of upstreams in the platform's store: upstreams that restart under the same id, and
//! invalid entries left by other writers.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    saddlepulley_standin::{runner::Runner, store::Store},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// Longer than a daemon needs to read a changed entry from the store.
const READ_DELAY: Duration = Duration::from_millis(1_500);

/// Builds the entry of an incarnation that started at `born_ms`.
fn entry_started_at(address: SocketAddr, state: &str, sequence: u64, born_ms: u64) -> Value {
    let mut entry = entry(address, state, sequence);
    entry["born"] = json!(born_ms);
    entry
}

async fn store_with_config() -> Store {
    let store = Store::start().await.unwrap();
    store.put("keyed.op", "config", &config(3, "/p/"));
    store
}

/// Returns an address at which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// An upstream crashes and restarts under its id, so the sequence numbers of its entries start
/// from 1 again. Daemons ignored its new entry as outdated and continued to send requests to
/// its old address.
#[tokio::test]
async fn an_upstream_that_restarts_under_its_id_is_used() {
    restarts_after_its_entry_is_removed().await;
    restarts_before_its_entry_is_removed().await;
    restarts_after_draining().await;
}

async fn restarts_after_its_entry_is_removed() {
    let store = store_with_config().await;
    let old = fixed_runner().await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(old, "ready", 40, 1_000),
    );
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("served", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    store.drop_key("keyed.servers", "i-1");
    tokio::time::sleep(READ_DELAY).await;
    let new = fixed_runner().await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(new, "ready", 1, 2_000),
    );
    eventually("served again", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
}

async fn restarts_before_its_entry_is_removed() {
    let store = store_with_config().await;
    let old = closed_address().await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(old, "ready", 40, 1_000),
    );
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    let new = fixed_runner().await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(new, "ready", 1, 2_000),
    );
    eventually("served at its new address", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
}

async fn restarts_after_draining() {
    let store = store_with_config().await;
    let address = fixed_runner().await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(address, "ready", 1, 1_000),
    );
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("served", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(address, "draining", 2, 1_000),
    );
    eventually("no longer served", async || {
        fetch(&daemon, "/p/x").await != StatusCode::OK
    })
    .await;
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(address, "ready", 1, 2_000),
    );
    eventually("served again", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    // An entry of the earlier incarnation may arrive late.
    store.put(
        "keyed.servers",
        "i-1",
        &entry_started_at(closed_address().await, "draining", 3, 1_000),
    );
    tokio::time::sleep(READ_DELAY).await;
    assert_eq!(fetch(&daemon, "/p/x").await, StatusCode::OK);
}

/// Returns invalid entries with a description of each. None of them may add an upstream, and
/// each removes the one whose entry it overwrites.
fn invalid_entries(address: SocketAddr) -> Vec<(&'static str, Vec<u8>)> {
    let changed = |field: &str, value: Value| {
        let mut entry = entry_started_at(address, "ready", 9, 1_000);
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let without = |field: &str| {
        let mut entry = entry_started_at(address, "ready", 9, 1_000);
        entry.as_object_mut().unwrap().remove(field);
        entry.to_string().into_bytes()
    };
    vec![
        ("not JSON", b"{\"service\":".to_vec()),
        ("not UTF-8", vec![0xff, 0xfe, 0x00, 0x80]),
        ("not an object", b"[1,2]".to_vec()),
        ("no service", without("service")),
        ("no address", without("address")),
        ("no zone", without("zone")),
        ("no slots", without("slots")),
        ("no state", without("state")),
        ("no sequence", without("sequence")),
        ("an unknown state", changed("state", json!("resting"))),
        ("a state of another type", changed("state", json!(1))),
        ("slots of another type", changed("slots", json!("8"))),
        (
            "a start time of another type",
            changed("born", json!(1_000.5)),
        ),
        ("a start time that is text", changed("born", json!("1000"))),
        ("an invalid address", changed("address", json!("here"))),
        ("zero slots", changed("slots", json!(0))),
    ]
}

#[tokio::test]
async fn an_invalid_entry_adds_no_upstream_and_hides_no_other() {
    let store = store_with_config().await;
    let runner = Runner::start("f", 1).await.unwrap();
    let other = fixed_runner().await;
    // Invalid entries are in the store when the daemon starts.
    for (index, (_, bytes)) in invalid_entries(runner.address()).into_iter().enumerate() {
        store.put_bytes("keyed.servers", format!("f-{index}").as_bytes(), &bytes);
    }
    store.put_bytes("keyed.servers", &[0xff, 0xfe], b"{}");
    store.put(
        "keyed.servers",
        "i-2",
        &entry_started_at(other, "ready", 1, 1_000),
    );
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("served", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    // Invalid entries are added while the daemon runs, and overwrite a valid one.
    for (what, bytes) in invalid_entries(runner.address()) {
        store.put_bytes("keyed.servers", b"i-3", &bytes);
        store.put_bytes("keyed.servers", b"i-2", &bytes);
        eventually(what, async || {
            fetch(&daemon, "/p/x").await != StatusCode::OK
        })
        .await;
        store.put(
            "keyed.servers",
            "i-2",
            &entry_started_at(other, "ready", 2, 1_000),
        );
        eventually(what, async || {
            fetch(&daemon, "/p/x").await == StatusCode::OK
        })
        .await;
    }
    // Keys and records that cannot be decoded.
    store.put_bytes("keyed.servers", &[0xff, 0xfe], b"{}");
    store.append("keyed.servers", b"\x09short");
    store.append("keyed.servers", b"");
    store.put(
        "keyed.servers",
        "i-2",
        &entry_started_at(other, "draining", 3, 1_000),
    );
    eventually(
        "changes after undecodable records take effect",
        async || fetch(&daemon, "/p/x").await != StatusCode::OK,
    )
    .await;
    assert!(
        runner.runs().is_empty(),
        "an upstream of an invalid entry was used"
    );
}
