use {
    super::{peer::Peer, peer_index::PeerIndex},
    crate::{
        cluster::*,
        policy::{DaemonRank, HUBS_PER_DOMAIN},
    },
    rand::{Rng, seq::IteratorRandom},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// After how long without news a daemon is forgotten, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;
/// How many daemons of a failure domain are named to one that asks: its hubs,
/// and those that come next.
const NAMED_OF_DOMAIN: usize = 6;

/// The other daemons, by what they told last. Times are milliseconds of the
/// daemon's steady clock.
#[derive(Debug)]
pub struct PeerTable {
    pub(super) own: DaemonEntry,
    pub(super) own_rank: DaemonRank,
    pub(super) own_dependents: u32,
    pub(super) peers: BTreeMap<Arc<str>, Peer>,
    pub(super) index: PeerIndex,
    /// How many peers were looked at so far.
    examined: Cell<u64>,
    /// Daemons that were told a configuration lately, by what tellers say.
    pub(super) announced_config: HashMap<SocketAddr, u64>,
    pub(super) now_ms: u64,
    /// The loads of all other hubs; none after a change.
    pub(super) loads: RefCell<Option<LoadSums>>,
}

impl PeerTable {
    /// Makes the table of a daemon.
    pub fn new(own: DaemonEntry) -> Self {
        Self {
            own_rank: own.rank(),
            own,
            own_dependents: 1,
            peers: BTreeMap::new(),
            index: PeerIndex::default(),
            examined: Cell::new(0),
            announced_config: HashMap::new(),
            now_ms: 0,
            loads: RefCell::default(),
        }
    }

    /// Returns who this daemon is.
    pub fn own(&self) -> &DaemonEntry {
        &self.own
    }

    /// Takes in a digest; returns whether it is news.
    pub fn apply_digest(&mut self, digest: Digest, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        if digest.daemon.name == self.own.name {
            return false;
        }
        let (daemon, known) = (digest.daemon.clone(), digest.known.clone());
        if !self.change(&daemon, |peer| peer.apply_digest(digest, now_ms)) {
            return false;
        }
        for entry in known {
            if entry.name != self.own.name {
                self.change(&entry, |peer| peer.record_announced(entry.clone(), now_ms));
            }
        }
        self.loads.take();
        true
    }

    /// Takes in a report; returns whether it is news.
    pub fn apply_report(&mut self, report: &Report, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        self.change(&report.daemon, |peer| peer.apply_report(report, now_ms))
    }

    /// Takes in what a hub tells of quotas; returns whether it is news.
    pub fn apply_quotas(&mut self, part: &QuotasPart, now_ms: u64) -> bool {
        let peer = self.peers.get_mut(part.name.as_str());
        peer.is_some_and(|p| p.apply_quotas(part, now_ms))
    }

    /// Takes in what a hub has at upstreams; returns whether it is one.
    pub fn apply_loads(&mut self, part: &LoadsPart, now_ms: u64) -> bool {
        let peer = self.peers.get_mut(part.name.as_str());
        let hub = peer
            .filter(|p| p.as_hub().is_some())
            .and_then(|p| p.hub.as_mut());
        let Some(hub) = hub else {
            return false;
        };
        if hub.loads.apply(part.clone()) {
            hub.loads_ms = now_ms;
            self.loads.take();
        }
        true
    }

    /// Changes what is known of a peer, which is made if there is none yet.
    fn change<T>(&mut self, entry: &DaemonEntry, change: impl FnOnce(&mut Peer) -> T) -> T {
        let known = self.peers.get_key_value(entry.name.as_str());
        let name = known.map_or_else(|| entry.name.as_str().into(), |(name, _)| name.clone());
        let now_ms = self.now_ms;
        let told = || Peer::told(entry.clone(), now_ms);
        let peer = self.peers.entry(name.clone()).or_insert_with(told);
        self.index.remove(&name, peer);
        let changed = change(peer);
        self.index.add(&name, peer);
        changed
    }

    /// Notes the time and how many daemons let requests in through this one,
    /// and forgets daemons that have long been silent.
    pub fn tick(&mut self, dependents: u32, now_ms: u64) {
        self.now_ms = now_ms;
        self.own_dependents = dependents;
        let index = &mut self.index;
        self.peers.retain(|name, peer| {
            let is_kept = now_ms < peer.last_ms() + FORGOTTEN_MS;
            match is_kept {
                true if peer.is_candidate(now_ms) => {}
                true => index.unrank(name, peer),
                false => index.remove(name, peer),
            }
            is_kept
        });
        self.loads.take();
    }

    /// Returns how many peers this table looked at so far to answer what it was asked.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Returns peers of the index.
    pub(super) fn named<'a>(
        &'a self,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> impl Iterator<Item = &'a Peer> {
        let peers = names.filter_map(|name| self.peers.get(name));
        peers.inspect(|_| self.count_examined())
    }

    /// Returns all peers.
    pub(super) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().inspect(|_| self.count_examined())
    }

    /// Returns those that said last that they are hubs.
    pub(super) fn known_hubs(&self) -> impl Iterator<Item = &Peer> {
        self.named(self.index.hubs())
    }

    /// Returns whether this daemon is a hub of its failure domain: it decides
    /// for itself, and for those that ask it.
    pub fn is_hub(&self) -> bool {
        let first = self.of_domain(&self.own.domain).take(HUBS_PER_DOMAIN);
        let ahead = first.filter(|p| p.rank > self.own_rank);
        ahead.count() < HUBS_PER_DOMAIN
    }

    /// Returns the hubs of the daemon's failure domain, the first to ask first.
    pub fn own_hubs(&self) -> Vec<SocketAddr> {
        let hubs = self.hubs_of(&self.own.domain);
        hubs.map(|p| p.entry.address).collect()
    }

    /// Returns the daemons of the own failure domain that are no hubs.
    pub fn own_members(&self) -> BTreeSet<SocketAddr> {
        let there = self.of_domain(&self.own.domain);
        let members = there.filter(|p| p.as_hub().is_none());
        members.map(|p| p.entry.address).collect()
    }

    fn hubs_of<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.of_domain(domain).take(HUBS_PER_DOMAIN)
    }

    /// Returns the live daemons of a failure domain that stay, in the order in which they
    /// are its hubs.
    pub(super) fn of_domain<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Peer> {
        let ranked = self.named(self.index.ranked(domain));
        ranked.filter(|p| p.is_candidate(self.now_ms))
    }

    /// Returns those that are hubs by their place, and those that said that they are.
    fn hubs_anywhere(&self) -> impl Iterator<Item = &Peer> {
        let placed = self.index.domains().flat_map(|d| self.hubs_of(d));
        placed.chain(self.known_hubs())
    }

    /// Returns where a hub's digests go to: to the hubs of all failure domains,
    /// and to those that were, as long as they may only be cut off.
    pub fn hub_addresses(&self) -> BTreeSet<SocketAddr> {
        self.hubs_anywhere().map(|p| p.entry.address).collect()
    }

    /// Returns which lives of other hubs this one tells. One that is silent for a while is
    /// the same listener when it is heard again.
    pub fn listening_hubs(&self) -> BTreeSet<Listener> {
        let heard = self.hubs_anywhere().filter(|p| p.last_seen_ms.is_some());
        heard.map(|p| (p.entry.address, p.incarnation)).collect()
    }

    /// Returns the daemons of the own failure domain that fell silent: one that
    /// starts again hears of the others by being told.
    pub fn silent_neighbours(&self) -> Vec<SocketAddr> {
        let silent = self.all().filter(|p| {
            p.entry.domain == self.own.domain
                && p.last_seen_ms.is_some()
                && p.is_silent(self.now_ms)
        });
        silent.map(|p| p.entry.address).collect()
    }

    /// Returns daemons to name to one of a failure domain: the first ones of
    /// that domain, and some hubs of the others, drawn anew each time.
    pub fn sample_daemons_for(&self, domain: &str, rng: &mut impl Rng) -> Vec<DaemonEntry> {
        let near = self.of_domain(domain).take(NAMED_OF_DOMAIN);
        let mut named: Vec<DaemonEntry> = near.map(|p| p.entry.clone()).collect();
        let hubs = self.hubs_anywhere();
        let far = hubs.filter(|p| p.entry.domain != domain && p.is_candidate(self.now_ms));
        let far: BTreeMap<&str, &Peer> = far.map(|p| (p.entry.name.as_str(), p)).collect();
        let left = MAX_DIGEST_DAEMONS.saturating_sub(named.len());
        let drawn = far.into_values().choose_multiple(rng, left);
        named.extend(drawn.into_iter().map(|p| p.entry.clone()));
        named
    }

    /// Notes up to which kind of extension a daemon knows all, as its digests and reports
    /// tell. One that doesn't tell may only have had no room for it, or have said the same
    /// in an earlier version beside: for the rest of its life it knows what it knew.
    pub fn record_level(&mut self, name: &str, level: u8) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.level = peer.level.max(level);
        }
    }

    /// Returns up to which kind of extension the daemon at an address knows all; zero if it
    /// has not told that.
    pub fn level_at(&self, address: SocketAddr) -> u8 {
        let peer = self.named(self.index.at(address).into_iter()).next();
        peer.map_or(0, |p| p.level)
    }

    /// Returns the addresses of daemons that are alive.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live().map(|p| p.entry.address).collect()
    }

    /// Returns whether any hub's digest came lately.
    pub fn has_live_hubs(&self) -> bool {
        self.live_hubs().next().is_some()
    }

    /// Returns whether a digest is due from a hub at an address, if the newest
    /// is `wanted_ms` old.
    pub fn wants_digest(&self, hub: SocketAddr, wanted_ms: u64) -> bool {
        let peer = self.named(self.index.at(hub).into_iter()).next();
        let last_seen_ms = peer.and_then(|p| p.last_seen_ms);
        last_seen_ms.is_none_or(|heard| self.now_ms >= heard + wanted_ms)
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|p| p.is_live(self.now_ms))
    }

    pub(super) fn live_hubs(&self) -> impl Iterator<Item = &Digest> {
        let live = self.known_hubs().filter(|p| p.is_live(self.now_ms));
        live.filter_map(|p| p.as_hub().map(|hub| &hub.digest))
    }
}
