//! What a daemon does about its paths to upstreams, by the state of its directory.

use {
    crate::support,
    saddlepulley::{
        names::{FailureDomain, ServiceName, UpstreamId},
        upstreams::Upstream,
    },
};

fn upstream(name: &str, draining: bool) -> Upstream {
    Upstream {
        id: UpstreamId::from(name),
        service: ServiceName::from("s"),
        // Nothing listens there.
        address: "127.0.0.1:1".parse().unwrap(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining,
        version: Default::default(),
        reclaimable: false,
        offset: if draining { 2 } else { 1 },
    }
}

/// A daemon tried for as long as their entries lasted whether upstreams that had left could be connected
/// to, at addresses that may be others' by then.
#[tokio::test]
async fn an_upstream_that_leaves_is_not_connected_to_any_more() {
    let gateway = support::gateway("");
    let names = ["u1", "u2", "u3", "u4"];
    for name in names {
        gateway.directory.write().upsert(upstream(name, false));
        assert!(!gateway.probe_link(&upstream(name, false)).await);
    }
    gateway.directory.write().upsert(upstream("u1", true));
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let mut probed: Vec<String> = gateway
        .links_to_probe(8)
        .iter()
        .map(|upstream| upstream.id.to_string())
        .collect();
    probed.sort();
    assert_eq!(probed, ["u2", "u3", "u4"]);
}
