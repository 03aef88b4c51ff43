use {
    super::AttemptKey,
    crate::policy::name_hash,
    std::{collections::HashMap, net::SocketAddr},
};

/// Number of other daemons that keep the origin of each stream. In three failure domains, one is left after
/// the loss of two of these.
const KEEPERS: usize = 3;

/// A daemon that may keep the origins of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperCandidate<'a> {
    /// Where the daemon receives datagrams.
    pub address: SocketAddr,
    /// The failure domain of the daemon.
    pub domain: &'a str,
}

/// Chooses the daemons that keep the origin of a stream which begins in a failure domain. Answers the loss of
/// failure domains, in each of which all daemons end together: one keeper is in the own domain, which may be
/// cut off from the others, and further ones are in as many other domains as there are. Within a domain,
/// rendezvous hashing spreads the streams over the daemons.
pub fn choose_keepers(
    key: AttemptKey,
    own_domain: &str,
    candidates: &[KeeperCandidate],
) -> Vec<SocketAddr> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|c| name_hash(&format!("{}/{}", c.address, key.0)));
    let mut seen_of_domain: HashMap<&str, usize> = HashMap::new();
    let mut turns = Vec::with_capacity(ranked.len());
    for candidate in ranked {
        let turn = seen_of_domain.entry(candidate.domain).or_default();
        *turn += 1;
        let is_near = candidate.domain == own_domain;
        // In the first turn the own domain leads, in the later ones it comes last.
        let is_after_others = match *turn {
            1 => !is_near,
            _ => is_near,
        };
        turns.push(((*turn, is_after_others), candidate.address));
    }
    // The sort is stable, so that within a turn the rank decides.
    turns.sort_by_key(|(order, _)| *order);
    let keepers = turns.into_iter().take(KEEPERS);
    keepers.map(|(_, address)| address).collect()
}
