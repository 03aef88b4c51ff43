use {
    crate::{
        cluster::{Extension, Packet, ReleasedSlot, SlotReleases, split_into_parts},
        gateway::Gateway,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long releases are collected before they are sent.
const COLLECT: Duration = Duration::from_millis(5);

/// Sends released slots to the daemons that gave them out. Each is sent twice, since a datagram may be
/// lost.
pub(in crate::cluster) async fn release_slots(gateway: Arc<Gateway>) {
    let mut again = Vec::new();
    loop {
        if again.is_empty() {
            gateway.slot_released.notified().await;
        }
        tokio::time::sleep(COLLECT).await;
        let released = gateway.take_released_slots();
        for (issuer, slots) in by_issuer(released.iter().chain(&again)) {
            for slots in split_into_parts(slots) {
                let packet = Packet::from(Extension::SlotReleases(SlotReleases { slots }));
                gateway.send_packet(&packet, issuer).await;
            }
        }
        again = released;
    }
}

fn by_issuer<'a>(
    released: impl Iterator<Item = &'a (SocketAddr, ReleasedSlot)>,
) -> HashMap<SocketAddr, Vec<ReleasedSlot>> {
    let mut by_issuer: HashMap<SocketAddr, Vec<ReleasedSlot>> = HashMap::new();
    for (issuer, slot) in released {
        by_issuer.entry(*issuer).or_default().push(slot.clone());
    }
    by_issuer
}
