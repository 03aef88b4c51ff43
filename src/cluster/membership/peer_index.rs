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

/// A daemon's place in the order of its failure domain.
type Place = (Reverse<DaemonRank>, Arc<str>);

/// The names of peers by what is asked for. It is kept with each change of a peer, so
/// that an answer costs as much as it holds, however many peers there are: answers were
/// sorted out of all peers otherwise, for each message, and the start of a fleet cost its
/// seeds the cube of its size.
#[derive(Debug, Default)]
pub(super) struct PeerIndex {
    /// By failure domain, those that may be hubs, the first one first. Some may have
    /// fallen silent since the last tick.
    ranked: BTreeMap<Arc<str>, BTreeSet<Place>>,
    /// Those that said last that they are hubs.
    hubs: BTreeSet<Arc<str>>,
    /// Those that said last that they hold the duties.
    duty_holders: BTreeSet<Arc<str>>,
    by_address: HashMap<SocketAddr, Arc<str>>,
}

impl PeerIndex {
    /// Takes a peer in.
    pub(super) fn add(&mut self, name: &Arc<str>, peer: &Peer) {
        let place = (Reverse(peer.rank), name.clone());
        match self.ranked.get_mut(peer.entry.domain.as_str()) {
            Some(ranked) => {
                ranked.insert(place);
            }
            None => {
                let domain = Arc::from(peer.entry.domain.as_str());
                self.ranked.insert(domain, BTreeSet::from([place]));
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

    /// Takes a peer out, as it was when it was taken in.
    pub(super) fn remove(&mut self, name: &Arc<str>, peer: &Peer) {
        self.unrank(name, peer);
        self.hubs.remove(name);
        self.duty_holders.remove(name);
        // Another daemon may have taken its address over.
        if self.by_address.get(&peer.entry.address) == Some(name) {
            self.by_address.remove(&peer.entry.address);
        }
    }

    /// Takes a peer out of the order of its failure domain: it can't be a hub until it
    /// is heard again.
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

    /// Returns those of a failure domain that may be hubs, the first one first.
    pub(super) fn ranked(&self, domain: &str) -> impl Iterator<Item = &Arc<str>> {
        let ranked = self.ranked.get(domain).into_iter().flatten();
        ranked.map(|(_, name)| name)
    }

    /// Returns the failure domains of those that may be hubs.
    pub(super) fn domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ranked.keys()
    }

    /// Returns those that said last that they are hubs.
    pub(super) fn hubs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hubs.iter()
    }

    /// Returns those that said last that they hold the duties.
    pub(super) fn duty_holders(&self) -> impl Iterator<Item = &Arc<str>> {
        self.duty_holders.iter()
    }

    /// Returns who listens at an address.
    pub(super) fn at(&self, address: SocketAddr) -> Option<&Arc<str>> {
        self.by_address.get(&address)
    }
}
