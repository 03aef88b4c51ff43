//! Addresses of removed upstreams are reused by other servers, which answer 421 to requests
//! for the old upstream without running them.

use {crate::support::*, http::StatusCode, saddlepulley_standin::runner::Runner};

/// Guards against refusing a request after misdirected sends. Two entries name addresses that
/// other servers use now. A request sent to both got 503, although a third upstream was ready.
#[tokio::test]
async fn a_request_misdirected_at_two_addresses_is_served_by_a_third() {
    let others = [
        Runner::start("c1", 5).await.unwrap(),
        Runner::start("c2", 5).await.unwrap(),
    ];
    let healthy = Runner::start("b3", 5).await.unwrap();
    let mut routes = routes_file(
        1,
        &[&ONCE, &STREAM_ONCE],
        &[&others[0], &others[1], &healthy],
    );
    routes = routes
        .replace("\"c1\"", "\"b1\"")
        .replace("\"c2\"", "\"b2\"");
    for path in ["/once/x", "/stream/once/x"] {
        let daemon = GatewayDaemon::start(&routes).await;
        for n in 0..12 {
            let answer = daemon
                .client()
                .await
                .fetch(&format!("a{n}"), path, "")
                .await;
            assert_eq!(answer.status, StatusCode::OK, "{path}, request {n}");
        }
    }
    assert!(others.iter().all(|other| other.runs().is_empty()));
    // Each daemon sends to a wrong address once, not for each request.
    let misdirected: u64 = others.iter().map(Runner::refusals).sum();
    assert!(
        misdirected <= 4,
        "{misdirected} requests went to wrong addresses"
    );
}
