//! Addresses of upstreams that are gone are used again by others: these answer 421
//! to what is not meant for them, and have not run it.

use {crate::support::*, http::StatusCode, saddlepulley_standin::runner::Runner};

/// Two entries name addresses that others have by now. A request that met both got 503,
/// though a third upstream was there.
#[tokio::test]
async fn a_request_that_meets_others_at_two_addresses_is_served_by_a_third() {
    let others = [
        Runner::start("c1", 5).await.unwrap(),
        Runner::start("c2", 5).await.unwrap(),
    ];
    let sound = Runner::start("b3", 5).await.unwrap();
    let mut routes = routes_file(1, &[&ONCE, &STREAM_ONCE], &[&others[0], &others[1], &sound]);
    routes = routes
        .replace("\"c1\"", "\"b1\"")
        .replace("\"c2\"", "\"b2\"");
    for path in ["/once/x", "/stream/once/x"] {
        let daemon = GatewayDaemon::start(&routes).await;
        for n in 0..12 {
            let answer = daemon.client().await.ask(&format!("a{n}"), path, "").await;
            assert_eq!(answer.status, StatusCode::OK, "{path}, request {n}");
        }
    }
    assert!(others.iter().all(|other| other.runs().is_empty()));
    // Each daemon asks at a wrong address once, not for each request.
    let asked: u64 = others.iter().map(Runner::refusals).sum();
    assert!(asked <= 4, "{asked} requests went to wrong addresses");
}
