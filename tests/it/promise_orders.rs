//! Orders of replacement boxes and of model loads are carried out once, although answers are
//! lost or the daemon that holds the lease is frozen.

use {
    crate::support::*,
    saddlepulley_standin::engine::EngineConfig,
    serde_json::{Value, json},
    std::{collections::BTreeSet, time::Duration},
};

/// Returns the box orders that the platform has accepted.
async fn orders(cluster: &Cluster) -> Vec<Value> {
    // The platform may drop this answer too (`lose_answers`).
    let rep = loop {
        let at = cluster.platform.addr();
        if let Ok(rep) = cluster.client.send("GET", at, "/orders", &[], "").await {
            break rep;
        }
    };
    let doc: Value = serde_json::from_slice(&rep.body).unwrap();
    doc["orders"].as_array().unwrap().clone()
}

async fn wait_orders(cluster: &Cluster, n: usize) -> Vec<Value> {
    for _ in 0..600 {
        let orders = orders(cluster).await;
        if orders.len() >= n {
            return orders;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("fewer than {n} orders in 30 s: {:?}", orders(cluster).await);
}

fn two_daemons_in_one_domain() -> Plan {
    Plan {
        domains: 1,
        daemons_per_domain: 2,
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replacement_is_ordered_once_when_answers_are_lost() {
    let cluster = Cluster::start(two_daemons_in_one_domain()).await;
    cluster
        .reclaim(&["zone-a-engine-0", "zone-a-engine-1"], 60_000)
        .await;
    let lose = json!({ "lose_answers": 12 });
    cluster
        .control_at(cluster.platform.addr(), "faults", &lose)
        .await;
    wait_orders(&cluster, 2).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let orders = orders(&cluster).await;
    let tokens: BTreeSet<&str> = orders
        .iter()
        .map(|o| o["client_token"].as_str().unwrap())
        .collect();
    assert_eq!((orders.len(), tokens.len()), (2, 2), "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_on_demand_box_is_ordered_when_reclaimable_is_refused() {
    let cluster = Cluster::start(two_daemons_in_one_domain()).await;
    let refuse = json!({ "refused_classes": ["reclaimable"] });
    cluster.control("settings", &refuse).await;
    cluster.reclaim(&["zone-a-engine-0"], 60_000).await;
    let orders = wait_orders(&cluster, 1).await;
    assert_eq!(orders[0]["class"], "on-demand");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_lease_holder_that_resumes_orders_nothing() {
    let cluster = Cluster::start(two_daemons_in_one_domain()).await;
    cluster.reclaim(&["zone-a-engine-0"], 60_000).await;
    wait_orders(&cluster, 1).await;
    let holder = cluster
        .daemons
        .iter()
        .find(|d| d.log().contains("ordered a box"))
        .unwrap();
    holder.freeze();
    // The other daemon takes the lease when the holder's has expired, and orders the next box.
    cluster.reclaim(&["zone-a-engine-1"], 60_000).await;
    let orders = wait_orders(&cluster, 2).await;
    let fence = |o: &Value| o["fence"].as_u64().unwrap();
    assert!(fence(&orders[1]) > fence(&orders[0]), "{orders:?}");
    let before = holder.log().matches("ordered a box").count();
    holder.thaw();
    cluster.reclaim(&["zone-a-codes"], 60_000).await;
    let orders = wait_orders(&cluster, 3).await;
    assert!(fence(&orders[2]) >= fence(&orders[1]), "{orders:?}");
    assert_eq!(
        holder.log().matches("ordered a box").count(),
        before,
        "{}",
        holder.log()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_engine_gets_one_order_to_load_its_model() {
    let plan = two_daemons_in_one_domain();
    let mut cluster = Cluster::start(two_daemons_in_one_domain()).await;
    let fresh = Plan {
        engine: EngineConfig {
            model: String::new(),
            ..plan.engine.clone()
        },
        ..plan
    };
    cluster
        .add_engine(&fresh, 0, "zone-a-engine-9", ("on-demand", 900))
        .await;
    let at = cluster.upstreams.last().unwrap().running.addr();
    let mut counts = Value::Null;
    for _ in 0..400 {
        counts = cluster.control_at(at, "counts", &Value::Null).await;
        if counts["model"] == "assistant" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(counts["model"], "assistant");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let counts = cluster.control_at(at, "counts", &Value::Null).await;
    assert_eq!(counts["orders"], 1, "{counts}");
}
