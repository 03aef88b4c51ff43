use {
    super::peer::Peer,
    crate::policy::DaemonRank,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// A daemon's name under its rank: the highest rank comes first.
type RankedName = (Reverse<DaemonRank>, Arc<str>);

/// The names of peers by domain and rank, by role and by address. The index is updated with each
/// change of a peer, so that the cost of a lookup depends on the size of its result and not on the
/// number of peers. Without it, each message would filter all peers, and the start of a fleet would
/// cost its seeds a time that grows with the cube of the fleet's size.
#[derive(Debug, Default)]
pub(super) struct PeerIndex {
    /// By failure domain, the peers that can be hubs, highest rank first. Some may have become
    /// silent since the last tick.
    ranked: BTreeMap<Arc<str>, BTreeSet<RankedName>>,
    /// The peers whose last digest or report says that they are hubs.
    hubs: BTreeSet<Arc<str>>,
    /// The peers whose last digest or report says that they hold the duties.
    duty_holders: BTreeSet<Arc<str>>,
    by_address: HashMap<SocketAddr, Arc<str>>,
}

impl PeerIndex {
    /// Adds a peer under its current state.
    pub(super) fn add(&mut self, name: &Arc<str>, peer: &Peer) {
        let ranked_name = (Reverse(peer.rank), name.clone());
        match self.ranked.get_mut(peer.entry.domain.as_str()) {
            Some(ranked) => {
                ranked.insert(ranked_name);
            }
            None => {
                let domain = Arc::from(peer.entry.domain.as_str());
                self.ranked.insert(domain, BTreeSet::from([ranked_name]));
            }
        }
        if peer.as_hub().is_some() {
            self.hubs.insert(name.clone());
        }
        if peer.status.holds_duties {
            self.duty_holders.insert(name.clone());
        }
        self.by_address.insert(peer.entry.address, name.clone());
    }

    /// Removes a peer. Its state must be the one under which it was added.
    pub(super) fn remove(&mut self, name: &Arc<str>, peer: &Peer) {
        self.unrank(name, peer);
        self.hubs.remove(name);
        self.duty_holders.remove(name);
        // Another daemon may have taken over the address.
        if self.by_address.get(&peer.entry.address) == Some(name) {
            self.by_address.remove(&peer.entry.address);
        }
    }

    /// Removes a peer from the ranking of its failure domain: it can't be a hub until its next
    /// message arrives.
    pub(super) fn unrank(&mut self, name: &Arc<str>, peer: &Peer) {
        let domain = peer.entry.domain.as_str();
        let Some(ranked) = self.ranked.get_mut(domain) else {
            return;
        };
        ranked.remove(&(Reverse(peer.rank), name.clone()));
        if ranked.is_empty() {
            self.ranked.remove(domain);
        }
    }

    /// Returns the peers of a failure domain that can be hubs, highest rank first.
    pub(super) fn ranked(&self, domain: &str) -> impl Iterator<Item = &Arc<str>> {
        let ranked = self.ranked.get(domain).into_iter().flatten();
        ranked.map(|(_, name)| name)
    }

    /// Returns the failure domains that have peers that can be hubs.
    pub(super) fn domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ranked.keys()
    }

    /// Returns the peers whose last digest or report says that they are hubs.
    pub(super) fn hubs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hubs.iter()
    }

    /// Returns the peers whose last digest or report says that they hold the duties.
    pub(super) fn duty_holders(&self) -> impl Iterator<Item = &Arc<str>> {
        self.duty_holders.iter()
    }

    /// Returns the peer that listens at an address.
    pub(super) fn at(&self, address: SocketAddr) -> Option<&Arc<str>> {
        self.by_address.get(&address)
    }
}
