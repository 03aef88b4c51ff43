//! Large configurations on slow links.
//!
//! Each daemon read the whole configuration in one call that was cut off after a fixed time of
//! 1.2 s, even while its bytes were arriving steadily. What had been read was discarded, and the
//! next call began with the first byte again. So the larger the configuration and the slower the
//! link, the later a daemon applied it, up to never: daemons on slow links answered new routes
//! with 404, although the source had confirmed the version. A configuration of 1.17 MB needs
//! 0.93 s on a link of 10 Mbit/s that carries nothing else.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    saddlepulley_standin::store::Delivery,
    serde_json::{Value, json},
};

/// Bandwidth that a slow link leaves for a configuration, in bytes per second.
const SLOW_LINK: usize = 150_000;
/// Number of routes whose configuration takes about five seconds on such a link.
const MANY_ROUTES: usize = 3_000;

/// Makes a configuration with `MANY_ROUTES` routes in addition to `/q/`.
fn large_config(version: u64) -> Value {
    let mut config = config(version, "/q/");
    let routes = config["route_table"].as_array_mut().unwrap();
    let first = routes[0].clone();
    for n in 0..MANY_ROUTES {
        let mut route = first.clone();
        route["name"] = json!(format!("r{n}"));
        route["path_prefix"] = json!(format!("/added/{n}/"));
        routes.push(route);
    }
    config
}

#[tokio::test]
async fn a_configuration_that_arrives_steadily_is_not_cut_off_however_long_it_takes() {
    let store = filled_store().await;
    let first = daemon("n1", &store, &[]);
    let second = daemon("n2", &store, &[&first]);
    // Two daemons read the store and wait for changes. The third follows them and reads the
    // configuration once they have announced its version.
    let third = daemon("n3", &store, &[&first, &second]);
    let daemons = [&first, &second, &third];
    for daemon in daemons {
        daemon.wait_ready().await;
    }
    store.set_delivery(Delivery::Throttled(SLOW_LINK));
    store.put("keyed.op", "config", &large_config(8));
    for daemon in daemons {
        eventually("in force", async || {
            fetch(daemon, "/q/x").await == StatusCode::OK
        })
        .await;
        assert_eq!(fetch(daemon, "/p/x").await, StatusCode::NOT_FOUND);
    }
    // A daemon that starts reads the full configuration over the same slow link.
    let fourth = self::daemon("n4", &store, &[]);
    fourth.wait_ready().await;
    assert_eq!(fetch(&fourth, "/q/x").await, StatusCode::OK);
}

#[tokio::test]
async fn a_stalled_read_of_the_configuration_does_not_block_the_next_one() {
    let store = filled_store().await;
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    store.set_delivery(Delivery::Stalled(1_000));
    store.put("keyed.op", "config", &large_config(8));
    // The answer to the current read stalls in its middle, and nothing closes the connection.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    store.set_delivery(Delivery::AtOnce);
    eventually("in force", async || {
        fetch(&daemon, "/q/x").await == StatusCode::OK
    })
    .await;
}

#[tokio::test]
async fn a_large_configuration_is_read_from_the_store_by_few_and_told_to_the_others() {
    const NAMES: [&str; 8] = ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"];
    let store = filled_store().await;
    let mut daemons: Vec<GatewayDaemon> = Vec::new();
    for name in NAMES {
        let seeds: Vec<&GatewayDaemon> = daemons.iter().take(2).collect();
        let daemon = daemon(name, &store, &seeds);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_ready().await;
        eventually("all hear of each other", async || {
            let page = daemon.metrics_page().await;
            page.contains(&format!("saddlepulley_daemons {}\n", NAMES.len()))
        })
        .await;
    }
    let before = store.listings("keyed.op");
    store.put("keyed.op", "config", &large_config(8));
    for daemon in &daemons {
        eventually("in force", async || {
            fetch(daemon, "/q/x").await == StatusCode::OK
        })
        .await;
    }
    // A daemon that waits too long for the others may still read the store itself.
    let listings = store.listings("keyed.op") - before;
    assert!(listings <= NAMES.len() as u64 / 2, "{listings} listings");
}
