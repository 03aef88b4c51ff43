use {
    crate::{cluster::*, gateway::Gateway, rollouts::RolloutState},
    std::{sync::Arc, time::Duration},
};

/// The interval between announcements of answer counts during a rollout. The leader detects a bad
/// version a few intervals after the answers that show it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Announces the answer counts of this daemon to the leader of rollouts, and to the daemons that are
/// ready to replace it.
pub(in crate::cluster) async fn announce_versions(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        let listeners = duty_addresses(&gateway);
        for part in own_parts(&gateway) {
            for listener in &listeners {
                let datagram = Datagram::Versions(part.clone());
                gateway.send_datagram(&datagram, *listener).await;
            }
            gateway.version_count_table.lock().apply(part);
        }
        let open = open_orders(&gateway);
        let is_open = |service: &str, order| open.iter().any(|(s, o)| s == service && *o == order);
        gateway.version_count_table.lock().retain(is_open);
    }
}

/// Returns the services and orders of the rollouts that are in progress.
fn open_orders(gateway: &Gateway) -> Vec<(String, u64)> {
    let rollouts = gateway.rollouts.lock();
    let open = rollouts
        .iter()
        .filter(|r| r.state == RolloutState::InProgress);
    open.map(|r| (r.service.clone(), r.order)).collect()
}

fn own_parts(gateway: &Gateway) -> Vec<VersionsPart> {
    let open = open_orders(gateway);
    let outcomes = gateway.outcomes.lock();
    let parts = open.into_iter().filter_map(|(service, order)| {
        let counts = outcomes.get(service.as_str())?.counts(order);
        (!counts.is_empty()).then(|| VersionsPart {
            name: gateway.settings.node.name.to_string(),
            incarnation: gateway.incarnation,
            service,
            order,
            counts,
        })
    });
    parts.collect()
}
