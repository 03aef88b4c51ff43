use {crate::names::*, crate::policy::HolderCandidate};

/// Links to the next boxes of the own failure domain's ring.
pub const RING_LINKS: usize = 2;
/// Links into other failure domains.
pub const CROSS_LINKS: usize = 1;

/// Chooses the boxes that a daemon heartbeats: the next ones on the ring of its
/// failure domain, one half-way round, and one in the next failure domain.
///
/// The number of links doesn't grow with the number of boxes. A change goes
/// round by the ring both ways and across by the half-way links, and every
/// failure domain has as many links to the next as it has boxes.
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
    chosen.extend(across(me, others));
    chosen
}

fn across(me: &HolderCandidate, others: &[HolderCandidate]) -> Vec<BoxId> {
    let mut domains: Vec<&FailureDomain> = others.iter().map(|c| &c.failure_domain).collect();
    domains.push(&me.failure_domain);
    domains.sort();
    domains.dedup();
    let at = domains.partition_point(|d| **d < me.failure_domain);
    let rank = others
        .iter()
        .filter(|c| c.failure_domain == me.failure_domain && c.id < me.id)
        .count();
    let n = domains.len();
    // Boxes of a domain take turns in how far they reach, so that two domains
    // that lost each other still hear through a third.
    let reach = 1 + rank % n.saturating_sub(1).max(1);
    (0..CROSS_LINKS)
        .filter_map(|i| {
            let domain = domains[(at + reach + i) % n];
            if *domain == me.failure_domain {
                return None;
            }
            let mut there: Vec<&BoxId> = others
                .iter()
                .filter(|c| c.failure_domain == *domain)
                .map(|c| &c.id)
                .collect();
            there.sort();
            Some(there[rank % there.len()].clone())
        })
        .collect()
}

fn next_on_ring(ring: &[&BoxId], me: &BoxId, n: usize) -> Vec<BoxId> {
    let start = ring.partition_point(|id| **id < *me);
    (0..n.min(ring.len()))
        .map(|i| ring[(start + i) % ring.len()].clone())
        .collect()
}
