//! A daemon goes on to serve and to follow its source whatever another writer leaves in the topics that it reads.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    saddlepulley::platform::{KeyedCursor, Store as StoreClient},
    saddlepulley_standin::store::Store,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const DEPTH: usize = 100_000;
/// Longer than any read of a listing takes.
const LISTING_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a daemon to read what was written, and to fail if it does.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Returns odd documents for any topic; `closed` is an address at which nothing listens.
fn odd_documents(closed: SocketAddr) -> Vec<Vec<u8>> {
    let mut entry = entry(closed, "ready", 1);
    entry["service"] = json!("odd");
    let with = |field: &str, value: Value| {
        let mut odd = entry.clone();
        odd[field] = value;
        odd.to_string().into_bytes()
    };
    let mut huge_list = vec![0; 4];
    huge_list.push(253);
    huge_list.extend(0x000f_ffff_ffff_ffff_u64.to_le_bytes());
    vec![
        huge_list,
        "[".repeat(DEPTH).into_bytes(),
        "{\"service\":".repeat(DEPTH).into_bytes(),
        b"{\"service\":\"s\",\"addr".to_vec(),
        vec![0xff; 64],
        b"null".to_vec(),
        b"no json".to_vec(),
        with("slots", json!(u32::MAX)),
        with("slots", json!(u64::MAX)),
        with("born", json!(u64::MAX)),
        with("sequence", json!(u64::MAX)),
        with("cold_remaining_ms", json!(1e308)),
        with("leaves_ms", json!(-1)),
        with("address", json!("127.0.0.1:70000")),
        with("address", json!("127.0.0.1:0")),
        with("address", json!("127.0.0.1:-1")),
        with("service", json!("x".repeat(300))),
        with("version", json!("x".repeat(100_000))),
        br#"{"lease":{"by":{"id":"odd","incarnation":1},"follows":0,"term_ms":18446744073709551615,"era":18446744073709551615}}"#.to_vec(),
        br#"{"restored":{"by":{"id":"odd","incarnation":1},"era":18446744073709551615,"holds_lease":false,"first_window":18446744073709551615}}"#.to_vec(),
        br#"{"service":"s","target_version":"v9","state":"in_progress","deadline_s":1e308,"share":1e38,"order":18446744073709551615,"fence":18446744073709551615,"step":4294967295,"started_ms":18446744073709551615}"#.to_vec(),
        br#"{"versions":["v1"],"since_ms":18446744073709551615,"confirmed_in":18446744073709551615}"#.to_vec(),
        br#"{"ends":[{"upstream":"u","at_ms":18446744073709551615,"ran_ms":18446744073709551615}]}"#.to_vec(),
    ]
}

/// Writes odd documents to all topics that a daemon reads, under keys that no other writer uses.
async fn write_odd_entries(store: &Store, round: u32) {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = closed.local_addr().unwrap();
    for (index, odd) in odd_documents(closed).iter().enumerate() {
        let key = |prefix: &str| format!("{prefix}odd-{round}-{index}").into_bytes();
        store.put_bytes("keyed.servers", &key(""), odd);
        store.put_bytes("keyed.op", &key("rollout/"), odd);
        store.put_bytes("keyed.op", &key(""), odd);
        store.put_bytes("keyed.status", &key("rollout/"), odd);
        store.put_bytes("keyed.service-versions", &key(""), odd);
        let fingerprint = format!("{:032x}", round * 1_000 + index as u32);
        store.put_bytes("keyed.quarantine", fingerprint.as_bytes(), odd);
        store.put_bytes(
            "keyed.quarantine",
            format!("part-{fingerprint}").as_bytes(),
            odd,
        );
        store.append("duties", odd);
        store.append("stream-origins", odd);
        for topic in ["keyed.servers", "keyed.op", "keyed.quarantine"] {
            store.append(topic, odd);
        }
    }
    // The store takes no such configuration, but a daemon must not end by it.
    for odd in [&b"{"[..], b"null", b"{\"version\":1e999}", &[0xff; 9]] {
        store.put_bytes("keyed.op", b"config", odd);
    }
}

/// Returns a configuration with a route on which streams may be taken up, and numbers at their limits.
fn extreme_config(version: u64, prefix: &str) -> Value {
    let mut config = config(version, prefix);
    let mut streams = config["route_table"][0].clone();
    streams["name"] = json!("streams");
    streams["path_prefix"] = json!("/stream/");
    streams["route_type"] = json!("streaming");
    streams["stream_resume"] = json!(true);
    streams["timeout_ms"] = json!(1e300);
    config["route_table"].as_array_mut().unwrap().push(streams);
    config["limits"]["max_header_bytes"] = json!(u64::MAX);
    config["limits"]["idle_timeout_ms"] = json!(u64::MAX);
    config["services"][0]["autoscaling"]["max_replicas"] = json!(u32::MAX);
    config
}

/// Asks for the rest of a stream that no daemon knows, so that the topic of the origins is read.
async fn take_up_unknown_stream(daemon: &GatewayDaemon) {
    let mut client = Client::connect(daemon.clients).await.unwrap();
    let take_up = store_request("/stream/x").header("last-event-id", "3");
    let _ = client
        .send(take_up.header("resumes", "a-unknown"), "")
        .await;
}

async fn assert_serves(daemon: &mut GatewayDaemon, path: &str, what: &str) {
    eventually(what, async || fetch(daemon, path).await == StatusCode::OK).await;
    assert_eq!(daemon.has_ended(), None, "{what}");
    assert_eq!(
        daemon.readiness_status().await,
        Some(StatusCode::OK),
        "{what}"
    );
}

/// Guards against a process that ends by itself, or no longer follows its source.
#[tokio::test]
async fn a_daemon_outlives_odd_entries_in_all_topics_and_follows_later_ones() {
    let store = Store::start().await.unwrap();
    write_odd_entries(&store, 1).await;
    store.put("keyed.op", "config", &extreme_config(3, "/p/"));
    store.put(
        "keyed.servers",
        "i-1",
        &entry(fixed_runner().await, "ready", 1),
    );
    let mut daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    assert_serves(&mut daemon, "/p/x", "odd entries before the start").await;
    write_odd_entries(&store, 2).await;
    tokio::time::sleep(SETTLE).await;
    store.put("keyed.op", "config", &extreme_config(4, "/q/"));
    assert_serves(&mut daemon, "/q/x", "a later configuration").await;
    let later = CountingUpstream::start().await;
    let mut other = entry(later.address, "ready", 1);
    other["version"] = json!("v2");
    store.put("keyed.servers", "i-2", &other);
    eventually("a later upstream is used", async || {
        fetch(&daemon, "/q/x").await;
        later.requests() > 0
    })
    .await;
    take_up_unknown_stream(&daemon).await;
    tokio::time::sleep(SETTLE).await;
    assert_serves(&mut daemon, "/q/x", "after a read of the origins").await;
    eventually("versions are recorded", async || {
        let recorded = store.values("keyed.service-versions", "s");
        recorded.iter().any(|r| r.to_string().contains("v2"))
    })
    .await;
    eventually("usage is reported", async || {
        store.duty_calls().iter().any(|call| call.duty == "usage")
    })
    .await;
}

/// Answers each call with the same page of a listing, which says that there is more.
async fn endless_listing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(1..) = stream.read(&mut buf).await {
                    let page = json!({ "more": true, "end": 9, "entries": [
                        { "key_file": "i-1", "data": "e30=", "offset": 1 },
                        { "key_file": "\u{fffd}", "data": "e30=", "offset": 2 },
                    ]});
                    let page = page.to_string();
                    let length = page.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    let _ = stream.write_all((head + &page).as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Guards against a listing without an end: a key that is no text sorts otherwise than its replacement, so the
/// same page came again and again.
#[tokio::test]
async fn a_listing_whose_pages_do_not_advance_ends() {
    let store = StoreClient::new(endless_listing().await);
    let mut cursor = KeyedCursor::new("keyed.servers");
    let listing = store.poll_keyed(&mut cursor, 0);
    let listed = tokio::time::timeout(LISTING_TIMEOUT, listing).await;
    let batch = listed.expect("the listing ends").unwrap();
    assert!(batch.records.iter().any(|record| record.key == "i-1"));
    assert_eq!(cursor.position(), Some(batch.end));
}
