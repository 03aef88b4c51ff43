use {crate::names::*, crate::policy::HolderCandidate};

/// Number of heartbeat links to the next boxes on the ring of a box's failure domain.
pub const RING_LINKS: usize = 2;
/// Number of heartbeat links into other failure domains.
pub const CROSS_LINKS: usize = 1;

/// Chooses the boxes to which a daemon sends heartbeats: the next ones on the ring of
/// its failure domain, the one half-way round the ring, and one in another failure
/// domain.
///
/// The number of links per box doesn't grow with the number of boxes. A change spreads
/// along the ring in both directions and cross_domain_links it by the half-way links, and a failure
/// domain has as many links into other domains as it has boxes.
pub fn neighbours(me: &HolderCandidate, others: &[HolderCandidate]) -> Vec<BoxId> {
    let mut ring: Vec<&BoxId> = others
        .iter()
        .filter(|c| c.failure_domain == me.failure_domain && c.id != me.id)
        .map(|c| &c.id)
        .collect();
    ring.sort();
    let mut chosen = next_on_ring(&ring, &me.id, RING_LINKS);
    if ring.len() > 2 * RING_LINKS {
        let start = ring.partition_point(|id| **id < me.id);
        let half = ring[(start + ring.len() / 2) % ring.len()].clone();
        if !chosen.contains(&half) {
            chosen.push(half);
        }
    }
    chosen.extend(cross_domain_links(me, others));
    chosen
}

fn cross_domain_links(me: &HolderCandidate, others: &[HolderCandidate]) -> Vec<BoxId> {
    let mut domains: Vec<&FailureDomain> = others.iter().map(|c| &c.failure_domain).collect();
    domains.push(&me.failure_domain);
    domains.sort();
    domains.dedup();
    let own_index = domains.partition_point(|d| **d < me.failure_domain);
    let rank = others
        .iter()
        .filter(|c| c.failure_domain == me.failure_domain && c.id < me.id)
        .count();
    let n = domains.len();
    // The boxes of a domain link to different domains in turn, so that two domains that
    // can't reach each other still exchange changes through a third.
    let distance = 1 + rank % n.saturating_sub(1).max(1);
    (0..CROSS_LINKS)
        .filter_map(|i| {
            let domain = domains[(own_index + distance + i) % n];
            if *domain == me.failure_domain {
                return None;
            }
            let mut domain_boxes: Vec<&BoxId> = others
                .iter()
                .filter(|c| c.failure_domain == *domain)
                .map(|c| &c.id)
                .collect();
            domain_boxes.sort();
            Some(domain_boxes[rank % domain_boxes.len()].clone())
        })
        .collect()
}

fn next_on_ring(ring: &[&BoxId], me: &BoxId, n: usize) -> Vec<BoxId> {
    let start = ring.partition_point(|id| **id < *me);
    (0..n.min(ring.len()))
        .map(|i| ring[(start + i) % ring.len()].clone())
        .collect()
}
