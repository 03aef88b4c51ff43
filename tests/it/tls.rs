//! Connections between daemons are mutually authenticated.

use {
    crate::support::*,
    saddlepulley::{conf::PeerSettings, peer::*},
    std::{net::SocketAddr, time::Duration},
};

/// Returns peer settings with a new certificate that `authority` has signed.
fn settings(cluster: &Cluster, name: &str, authority: &Authority) -> PeerSettings {
    let file = |end: &str| cluster.dir.path().join(format!("{name}.{end}"));
    authority.write_cert(&file("pem"), &file("key"));
    // Every certificate holder trusts the cluster's authority, but the cluster trusts only
    // certificates that its own authority has signed.
    let text = format!(
        "tls_cert = {:?}\ntls_key = {:?}\ntls_ca = {:?}",
        file("pem"),
        file("key"),
        cluster.dir.path().join("ca.pem")
    );
    toml::from_str(&text).unwrap()
}

async fn ping(at: SocketAddr, settings: &PeerSettings) -> Result<PeerReply, PeerError> {
    let tls = PeerTls::from_settings(settings).unwrap();
    let client = PeerClient::new(at, "127.0.0.1".parse().unwrap(), tls);
    client.call(&PeerCall::Ping, Duration::from_secs(3)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_connections_are_mutually_authenticated() {
    let plan = Plan {
        tls: true,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    let boxes = cluster.caller_addrs();
    let t = stream_completion(&boxes, 0, "over tls", 20).await;
    assert_eq!(
        (t.end, t.durability.as_str()),
        (CallerOutcome::Complete, "cross-domain")
    );
    let at = cluster.peer_proxies[0].addr();
    let member = settings(&cluster, "member", &cluster.authority);
    assert!(matches!(ping(at, &member).await, Ok(PeerReply::Alive(_))));
    let stranger = settings(&cluster, "stranger", &Authority::default());
    assert!(ping(at, &stranger).await.is_err());
    let plain: PeerSettings = toml::from_str("plain = true").unwrap();
    assert!(ping(at, &plain).await.is_err());
}
