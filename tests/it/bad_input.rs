//! Invalid input is refused with a reason and affects no other request.

use {
    crate::support::*,
    saddlepulley::peer::{PeerCall, decode},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

async fn raw(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut buf = vec![0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(15), stream.read(&mut buf)).await;
    let n = read.ok().and_then(Result::ok).unwrap_or(0);
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

async fn post(cluster: &Cluster, path: &str, headers: &[(&str, &str)], body: &str) -> (u16, Value) {
    let auth = bearer(TOKEN);
    let mut all = vec![("authorization", auth.as_str())];
    all.extend(headers);
    let at = cluster.caller_addrs()[0];
    let rep = cluster
        .client
        .send("POST", at, path, &all, body)
        .await
        .unwrap();
    (
        rep.status,
        serde_json::from_slice(&rep.body).unwrap_or_default(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_a_reason_and_not_run() {
    let cluster = Cluster::start(Plan::default()).await;
    let good = json!({ "model": "assistant", "prompt": "hello", "max_tokens": 3 }).to_string();
    let path = "/v1/completions";
    let many = json!({ "model": "assistant", "prompt": "x", "max_tokens": 99_999_999 }).to_string();
    let unknown = json!({ "model": "nobody", "prompt": "x" }).to_string();
    let plain = json!({ "model": "codes", "prompt": "x" }).to_string();
    let large = "x".repeat(2 * 1024 * 1024);
    type Case<'a> = (u16, &'a str, Vec<(&'a str, &'a str)>, &'a str);
    let cases: Vec<Case> = vec![
        (400, path, vec![], "{"),
        (400, path, vec![], &many),
        (404, path, vec![], &unknown),
        (413, path, vec![], &large),
        (400, path, vec![("saddlepulley-repeatable", "maybe")], &good),
        (400, path, vec![("saddlepulley-deadline", "5")], &good),
        (400, path, vec![("saddlepulley-deadline-ms", "-1")], &good),
        (400, path, vec![("idempotency-key", "1234")], &good),
        (
            400,
            "/codes/issue",
            vec![("saddlepulley-repeatable", "no")],
            "x",
        ),
        (404, "/nowhere/x", vec![], "x"),
        (404, "/assistant/x", vec![], "x"),
        (404, path, vec![], &plain),
    ];
    for (status, path, headers, body) in cases {
        let (got, doc) = post(&cluster, path, &headers, body).await;
        let what = &body[..body.len().min(60)];
        assert_eq!(got, status, "{path} {headers:?} {what}: {doc}");
        assert_eq!(doc["outcome"], json!("malformed"), "{doc}");
        assert!(
            doc["detail"].as_str().is_some_and(|d| !d.is_empty()),
            "{doc}"
        );
    }
    assert!(cluster.executions().await.is_empty());
    assert_eq!(post(&cluster, path, &[], &good).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_or_missing_tokens_are_refused() {
    let cluster = Cluster::start(Plan::default()).await;
    let at = cluster.caller_addrs()[0];
    for auth in ["", "Bearer wrong", "Basic abc"] {
        let rep = cluster
            .client
            .send("GET", at, "/v1/models", &[("authorization", auth)], "")
            .await
            .unwrap();
        assert_eq!(rep.status, 401, "{auth}");
        let operators = cluster.daemons[0].operators;
        let rep = cluster
            .client
            .send("POST", operators, "/drain", &[("authorization", auth)], "")
            .await
            .unwrap();
        assert_eq!(rep.status, 401, "{auth}");
    }
    // A caller's token gives no access to the operator endpoints.
    let auth = bearer(TOKEN);
    let operators = cluster.daemons[0].operators;
    let rep = cluster
        .client
        .send("GET", operators, "/status", &[("authorization", &auth)], "")
        .await
        .unwrap();
    assert_eq!(rep.status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_and_slow_callers_do_not_affect_other_requests() {
    let cluster = Cluster::start(Plan::default()).await;
    let boxes = cluster.caller_addrs();
    let at = boxes[0];
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream
            .write_all(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n")
            .await
            .unwrap();
        slow.push(stream);
    }
    assert!(
        raw(at, b"\x00\x01\x02\x03 nonsense\r\n\r\n")
            .await
            .starts_with("HTTP/1.1 400")
    );
    let head = format!(
        "GET / HTTP/1.1\r\nHost: x\r\nX-Long: {}\r\n\r\n",
        "y".repeat(100_000)
    );
    let answer = raw(at, head.as_bytes()).await;
    assert!(
        answer.starts_with("HTTP/1.1 431") || answer.is_empty(),
        "{answer}"
    );
    let t = stream_completion(&boxes, 0, "undisturbed", 10).await;
    assert_eq!(t.end, CallerOutcome::Complete);
}

/// Sends the bytes of `body` as the body of a peer call, without encoding them.
async fn peer_post(at: SocketAddr, path: &str, body: Vec<u8>) -> Result<u16, String> {
    let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
    let (conn, run) = h2::client::handshake(stream)
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(run);
    let mut conn = conn.ready().await.map_err(|e| e.to_string())?;
    let req = http::Request::post(format!("http://{at}{path}"))
        .body(())
        .unwrap();
    let (rep, mut tx) = conn.send_request(req, false).map_err(|e| e.to_string())?;
    let mut body = bytes::Bytes::from(body);
    while !body.is_empty() {
        tx.reserve_capacity(body.len());
        let Some(Ok(n)) = std::future::poll_fn(|cx| tx.poll_capacity(cx)).await else {
            break;
        };
        let part = body.split_to(n.min(body.len()));
        if tx.send_data(part, false).is_err() {
            break;
        }
    }
    let _ = tx.send_data(bytes::Bytes::new(), true);
    Ok(rep.await.map_err(|e| e.to_string())?.status().as_u16())
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_peer_messages_are_refused_within_bounded_memory() {
    let cluster = Cluster::start(Plan::default()).await;
    let at = cluster.peer_proxies[0].addr();
    let before = cluster
        .status(&cluster.daemons[0])
        .await
        .unwrap()
        .memory_bytes;
    // An unknown version, and bytes that are no message.
    assert_eq!(peer_post(at, "/peer/99/call", vec![0]).await, Ok(404));
    assert_eq!(peer_post(at, "/peer/1/call", vec![255; 40]).await, Ok(400));
    // A length that claims far more bytes than the body has: no memory is allocated for it.
    let mut hostile = vec![4];
    hostile.extend([253, 255, 255, 255, 255, 255, 255, 255, 127]);
    // For a variant with a plain number as its field, the same bytes are a valid message.
    let mut refused = 0;
    for variant in 0..12 {
        hostile[0] = variant;
        let good = decode::<PeerCall>(&hostile).is_ok();
        let expected = if good { 200 } else { 400 };
        assert_eq!(
            peer_post(at, "/peer/1/call", hostile.clone()).await,
            Ok(expected)
        );
        refused += usize::from(!good);
    }
    assert!(refused >= 10);
    // A body above the size limit.
    let refused = peer_post(at, "/peer/1/call", vec![7; 9 * 1024 * 1024]).await;
    assert!(matches!(refused, Ok(413) | Err(_)), "{refused:?}");
    // Random bytes, and a connection that doesn't speak HTTP/2.
    use rand::{RngCore, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    for n in 0..200 {
        let mut bytes = vec![0; n];
        rng.fill_bytes(&mut bytes);
        let _ = peer_post(at, "/peer/1/call", bytes).await;
    }
    raw(at, b"GET / HTTP/1.1\r\n\r\n").await;
    let boxes = cluster.caller_addrs();
    assert_eq!(
        stream_completion(&boxes, 0, "undisturbed", 10).await.end,
        CallerOutcome::Complete
    );
    let after = cluster
        .status(&cluster.daemons[0])
        .await
        .unwrap()
        .memory_bytes;
    assert!(after < before + 64 * 1024 * 1024, "{before} {after}");
}
