//! Entries of upstreams in the platform's store: upstreams that start again under
//! the id that they had, and entries that other writers left there.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    saddlepulley_standin::{runner::Runner, store::Store},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// Longer than a daemon needs to take in an entry of the store.
const TAKEN_IN: Duration = Duration::from_millis(1_500);

fn born(address: SocketAddr, state: &str, sequence: u64, born_ms: u64) -> Value {
    let mut entry = entry(address, state, sequence);
    entry["born"] = json!(born_ms);
    entry
}

async fn store_with_config() -> Store {
    let store = Store::start().await.unwrap();
    store.put("keyed.op", "config", &config(3, "/p/"));
    store
}

/// An address at which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// An upstream crashes and starts again under its id: its count begins anew. Its new
/// entry was taken for an old one, and requests went on to its old address.
#[tokio::test]
async fn an_upstream_that_starts_again_under_its_id_is_used() {
    starts_again_after_its_entry_went().await;
    starts_again_before_its_entry_goes().await;
    starts_again_after_it_left().await;
}

async fn starts_again_after_its_entry_went() {
    let store = store_with_config().await;
    let old = fixed_runner().await;
    store.put("keyed.servers", "i-1", &born(old, "ready", 40, 1_000));
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("served", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    store.drop_key("keyed.servers", "i-1");
    tokio::time::sleep(TAKEN_IN).await;
    let new = fixed_runner().await;
    store.put("keyed.servers", "i-1", &born(new, "ready", 1, 2_000));
    eventually("served again", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
}

async fn starts_again_before_its_entry_goes() {
    let store = store_with_config().await;
    let old = closed_address().await;
    store.put("keyed.servers", "i-1", &born(old, "ready", 40, 1_000));
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    let new = fixed_runner().await;
    store.put("keyed.servers", "i-1", &born(new, "ready", 1, 2_000));
    eventually("served at its new address", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
}

async fn starts_again_after_it_left() {
    let store = store_with_config().await;
    let address = fixed_runner().await;
    store.put("keyed.servers", "i-1", &born(address, "ready", 1, 1_000));
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("served", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    store.put("keyed.servers", "i-1", &born(address, "draining", 2, 1_000));
    eventually("it leaves", async || {
        fetch(&daemon, "/p/x").await != StatusCode::OK
    })
    .await;
    store.put("keyed.servers", "i-1", &born(address, "ready", 1, 2_000));
    eventually("served again", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    // What the life before said may come late.
    store.put(
        "keyed.servers",
        "i-1",
        &born(closed_address().await, "draining", 3, 1_000),
    );
    tokio::time::sleep(TAKEN_IN).await;
    assert_eq!(fetch(&daemon, "/p/x").await, StatusCode::OK);
}

/// Entries that are none: each names no upstream, whatever stood there before.
fn foreign_entries(address: SocketAddr) -> Vec<(&'static str, Vec<u8>)> {
    let changed = |field: &str, value: Value| {
        let mut entry = born(address, "ready", 9, 1_000);
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let without = |field: &str| {
        let mut entry = born(address, "ready", 9, 1_000);
        entry.as_object_mut().unwrap().remove(field);
        entry.to_string().into_bytes()
    };
    vec![
        ("no JSON", b"{\"service\":".to_vec()),
        ("no text", vec![0xff, 0xfe, 0x00, 0x80]),
        ("no object", b"[1,2]".to_vec()),
        ("no service", without("service")),
        ("no address", without("address")),
        ("no zone", without("zone")),
        ("no slots", without("slots")),
        ("no state", without("state")),
        ("no sequence", without("sequence")),
        (
            "a state that isn't known",
            changed("state", json!("resting")),
        ),
        ("a state of another type", changed("state", json!(1))),
        ("slots of another type", changed("slots", json!("8"))),
        ("a start of another type", changed("born", json!(1_000.5))),
        ("a start that is text", changed("born", json!("1000"))),
        ("an address that is none", changed("address", json!("here"))),
        ("no slots at all", changed("slots", json!(0))),
    ]
}

#[tokio::test]
async fn an_entry_that_is_none_names_no_upstream_and_hides_no_other() {
    let store = store_with_config().await;
    let runner = Runner::start("f", 1).await.unwrap();
    let other = fixed_runner().await;
    // Entries that are none stand there when the daemon starts.
    for (index, (_, bytes)) in foreign_entries(runner.address()).into_iter().enumerate() {
        store.put_bytes("keyed.servers", format!("f-{index}").as_bytes(), &bytes);
    }
    store.put_bytes("keyed.servers", &[0xff, 0xfe], b"{}");
    store.put("keyed.servers", "i-2", &born(other, "ready", 1, 1_000));
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("served", async || {
        fetch(&daemon, "/p/x").await == StatusCode::OK
    })
    .await;
    // More come, in the place of a good one, too.
    for (what, bytes) in foreign_entries(runner.address()) {
        store.put_bytes("keyed.servers", b"i-3", &bytes);
        store.put_bytes("keyed.servers", b"i-2", &bytes);
        eventually(what, async || fetch(&daemon, "/p/x").await != StatusCode::OK).await;
        store.put("keyed.servers", "i-2", &born(other, "ready", 2, 1_000));
        eventually(what, async || fetch(&daemon, "/p/x").await == StatusCode::OK).await;
    }
    // Keys and records that can't be read.
    store.put_bytes("keyed.servers", &[0xff, 0xfe], b"{}");
    store.append("keyed.servers", b"\x09short");
    store.append("keyed.servers", b"");
    store.put("keyed.servers", "i-2", &born(other, "draining", 3, 1_000));
    eventually("news after records that can't be read", async || {
        fetch(&daemon, "/p/x").await != StatusCode::OK
    })
    .await;
    assert!(runner.runs().is_empty(), "an entry that is none was used");
}
