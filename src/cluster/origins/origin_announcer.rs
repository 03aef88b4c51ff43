use {
    crate::{cluster::*, gateway::Gateway, policy::AnnouncedOrigin},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval at which streams are announced that began while their service had one version only, once it
/// has another.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Announces the streams of this daemon that are not announced when they begin.
pub(in crate::cluster) async fn announce_origins(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        let due = gateway.take_due_origins();
        send_origins(&gateway, &due).await;
    }
}

/// Announces origins of streams to the daemons that keep them. The first of these writes them to the
/// shared log, unless this daemon does.
pub(crate) async fn send_origins(gateway: &Gateway, origins: &[AnnouncedOrigin]) {
    if origins.is_empty() {
        return;
    }
    let is_hub = gateway.is_hub();
    let mut by_receiver: BTreeMap<(SocketAddr, bool), Vec<AnnouncedOrigin>> = BTreeMap::new();
    for origin in origins {
        let keepers = gateway.peers.lock().origin_keepers(origin.key);
        for (rank, keeper) in keepers.into_iter().enumerate() {
            let logs = !is_hub && rank == 0;
            let group = by_receiver.entry((keeper, logs)).or_default();
            group.push(origin.clone());
        }
    }
    if is_hub {
        gateway.add_origins_to_log(origins.iter().map(|o| o.key));
    }
    for ((keeper, is_to_log), group) in by_receiver {
        for part in OriginsPart::group(&group, is_to_log) {
            gateway
                .send_packet(&Extension::Origins(part).into(), keeper)
                .await;
        }
    }
}
