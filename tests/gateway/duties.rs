//! The daemons' duties (usage reports, scaling orders) and the platform's configuration,
//! against a stand-in of the platform's store and API.

use {
    crate::{store_support::*, support::*},
    http::StatusCode,
    nix::sys::signal::Signal,
    saddlepulley_standin::store::DutyCall,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Checks the invariants of all duty calls: fencing tokens never decrease, each belongs to one
/// holder, and all reports of a window are equal.
fn check_calls(calls: &[DutyCall]) {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut reports: BTreeMap<u64, &serde_json::Value> = BTreeMap::new();
    for pair in calls.windows(2) {
        assert!(pair[0].fence <= pair[1].fence, "{pair:?}");
    }
    for call in calls {
        let holder = holders.entry(call.fence).or_insert(&call.holder);
        assert_eq!(*holder, call.holder, "one holder per fencing token");
        if call.duty == "usage" {
            let window = call.body["window_id"].as_u64().unwrap();
            let report = reports.entry(window).or_insert(&call.body);
            assert_eq!(*report, &call.body, "equal reports of a window");
        }
    }
}

fn usage_of(calls: &[DutyCall], holder: &str) -> usize {
    calls
        .iter()
        .filter(|c| c.duty == "usage" && c.holder == holder)
        .count()
}

#[tokio::test]
async fn configuration_and_upstreams_are_read_from_the_store() {
    let store = filled_store().await;
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    assert_eq!(fetch(&daemon, "/p/x").await, StatusCode::OK);
    store.put("keyed.op", "config", &config(8, "/q/"));
    eventually("the configuration takes effect", async || {
        fetch(&daemon, "/q/x").await == StatusCode::OK
    })
    .await;
    assert_eq!(fetch(&daemon, "/p/x").await, StatusCode::NOT_FOUND);
    // The only upstream drains: no request is sent to it.
    let dead: SocketAddr = "127.0.0.1:1".parse().unwrap();
    store.put("keyed.servers", "i-1", &entry(dead, "draining", 2));
    eventually("the request is refused", async || {
        fetch(&daemon, "/q/x").await == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    store.drop_key("keyed.servers", "i-1");
    store.put(
        "keyed.servers",
        "i-2",
        &entry(fixed_runner().await, "ready", 1),
    );
    eventually("the next upstream is used", async || {
        fetch(&daemon, "/q/x").await == StatusCode::OK
    })
    .await;
}

#[tokio::test]
async fn an_unavailable_store_fails_no_request() {
    let store = filled_store().await;
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    store.set_down(true);
    for _ in 0..20 {
        assert_eq!(fetch(&daemon, "/p/x").await, StatusCode::OK);
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    store.set_down(false);
    store.put("keyed.op", "config", &config(9, "/q/"));
    eventually("the configuration takes effect", async || {
        fetch(&daemon, "/q/x").await == StatusCode::OK
    })
    .await;
}

#[tokio::test]
async fn usage_is_reported_once_per_window_when_the_holder_is_killed() {
    let store = filled_store().await;
    let first = daemon("n1", &store, &[]);
    first.wait_ready().await;
    eventually("n1 reports", async || {
        usage_of(&store.duty_calls(), "n1") >= 1
    })
    .await;
    let second = daemon("n2", &store, &[&first]);
    second.wait_ready().await;
    for _ in 0..10 {
        fetch(&second, "/p/x").await;
        fetch(&first, "/p/x").await;
    }
    eventually("both daemons' requests in one report", async || {
        let counted = |c: &DutyCall| c.body["counts"]["t"].as_u64().unwrap_or(0);
        store.duty_calls().iter().map(counted).sum::<u64>() >= 20
    })
    .await;
    assert_eq!(
        usage_of(&store.duty_calls(), "n2"),
        0,
        "only the holder reports"
    );
    first.signal(Signal::SIGKILL);
    eventually("n2 takes over", async || {
        usage_of(&store.duty_calls(), "n2") >= 2
    })
    .await;
    check_calls(&store.duty_calls());
}

#[tokio::test]
async fn a_frozen_holder_makes_no_calls_after_it_resumes() {
    let store = filled_store().await;
    let first = daemon("n1", &store, &[]);
    first.wait_ready().await;
    eventually("n1 reports", async || {
        usage_of(&store.duty_calls(), "n1") >= 1
    })
    .await;
    let second = daemon("n2", &store, &[&first]);
    second.wait_ready().await;
    first.signal(Signal::SIGSTOP);
    eventually("n2 takes over", async || {
        usage_of(&store.duty_calls(), "n2") >= 1
    })
    .await;
    let by_first = store
        .duty_calls()
        .iter()
        .filter(|c| c.holder == "n1")
        .count();
    first.signal(Signal::SIGCONT);
    eventually("n2 continues to report", async || {
        usage_of(&store.duty_calls(), "n2") >= 4
    })
    .await;
    let calls = store.duty_calls();
    assert_eq!(calls.iter().filter(|c| c.holder == "n1").count(), by_first);
    check_calls(&calls);
}

#[tokio::test]
async fn spot_upstreams_are_ordered_in_each_zone() {
    let store = filled_store().await;
    let daemon = daemon("n1", &store, &[]);
    daemon.wait_ready().await;
    eventually("orders in both zones", async || {
        let calls = store.duty_calls();
        let zones = ["a", "b"].map(|zone| {
            let mut orders = calls
                .iter()
                .filter(|c| c.duty == "scale" && c.body["zone"] == zone);
            orders.any(|c| c.body["spot"] == true && c.body["desired_count"].as_u64() >= Some(1))
        });
        zones == [true, true]
    })
    .await;
    check_calls(&store.duty_calls());
}

/// Guards against requests missing from the usage reports after a rolling restart. All daemons
/// are gracefully stopped and replaced in turn, and with them each daemon that had received
/// the others' counts.
#[tokio::test]
async fn counts_of_gracefully_stopped_daemons_reach_the_usage_reports() {
    const NAMES: [&str; 3] = ["n1", "n2", "n3"];
    const REQUESTS: u64 = 10;
    let store = filled_store().await;
    let mut daemons = vec![daemon(NAMES[0], &store, &[])];
    for name in &NAMES[1..] {
        let next = daemon(name, &store, &daemons.iter().collect::<Vec<_>>());
        daemons.push(next);
    }
    for daemon in &daemons {
        daemon.wait_ready().await;
    }
    eventually("a holder reports", async || !store.duty_calls().is_empty()).await;
    let mut served = 0;
    for name in NAMES {
        let mut leaving = daemons.remove(0);
        for daemon in daemons.iter().chain([&leaving]) {
            for _ in 0..REQUESTS {
                assert_eq!(fetch(daemon, "/p/x").await, StatusCode::OK);
                served += 1;
            }
        }
        leaving.signal(Signal::SIGTERM);
        for _ in 0..REQUESTS {
            assert_eq!(
                fetch(&leaving, "/p/x").await,
                StatusCode::OK,
                "a stopping daemon serves during its notice period"
            );
            served += 1;
        }
        assert!(leaving.wait_end().await);
        let next = daemon(name, &store, &daemons.iter().collect::<Vec<_>>());
        next.wait_ready().await;
        daemons.push(next);
    }
    let reported = || {
        let calls = store.duty_calls();
        let usage = calls.iter().filter(|c| c.duty == "usage");
        let windows: BTreeMap<u64, u64> = usage
            .map(|c| {
                let window = c.body["window_id"].as_u64().unwrap();
                (window, c.body["counts"]["t"].as_u64().unwrap_or(0))
            })
            .collect();
        windows.values().sum::<u64>()
    };
    eventually("all served requests are reported", async || {
        reported() == served
    })
    .await;
    check_calls(&store.duty_calls());
}
