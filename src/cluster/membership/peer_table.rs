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

/// After this time without a message of a daemon, or an announcement of it by others, the daemon is
/// removed from the table, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// How old the last message of a hub may be when the next report to it is sent, in milliseconds.
/// The digest that the report requests then arrives well before the hub counts as silent.
const WANTED_AGE_MS: u64 = MEMBER_DIGEST_INTERVAL_MS + 500;
/// How many daemons of its own failure domain are named to a daemon: the hubs, and those next in
/// rank.
const MAX_DOMAIN_SAMPLE: usize = 6;

/// The other daemons, with the state that they announced last. Times are milliseconds of this
/// daemon's steady clock.
#[derive(Debug)]
pub struct PeerTable {
    pub(super) own: DaemonEntry,
    pub(super) own_rank: DaemonRank,
    pub(super) own_dependents: u32,
    /// Whether this daemon was a hub at the last tick.
    was_hub: bool,
    pub(super) peers: BTreeMap<Arc<str>, Peer>,
    pub(super) index: PeerIndex,
    /// The number of peers that lookups have examined so far.
    examined: Cell<u64>,
    /// The newest configuration version that each daemon has or is about to receive, as announced.
    /// Holds only daemons with the newest of these versions.
    pub(super) announced_config: HashMap<SocketAddr, u64>,
    pub(super) now_ms: u64,
    /// The cached sum of the loads of all other hubs; none after a change.
    pub(super) loads: RefCell<Option<LoadSums>>,
    /// The cached sum of the tokens that the requests of all other hubs hold; none after a change.
    pub(super) held: RefCell<Option<HeldSums>>,
}

impl PeerTable {
    /// Creates the table of a daemon, without peers.
    pub fn new(own: DaemonEntry) -> Self {
        Self {
            own_rank: own.rank(),
            own,
            own_dependents: 1,
            was_hub: true,
            peers: BTreeMap::new(),
            index: PeerIndex::default(),
            examined: Cell::new(0),
            announced_config: HashMap::new(),
            now_ms: 0,
            loads: RefCell::default(),
            held: RefCell::default(),
        }
    }

    /// Returns the identity of this daemon.
    pub fn own(&self) -> &DaemonEntry {
        &self.own
    }

    /// Applies a digest. Returns false if it is not newer than the last one of its sender.
    pub fn apply_digest(&mut self, digest: Digest, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        if digest.daemon.name == self.own.name {
            return false;
        }
        let (daemon, known) = (digest.daemon.clone(), digest.known.clone());
        let was_hub = self.was_hub;
        let apply = |peer: &mut Peer| {
            let is_newer = peer.apply_digest(digest, now_ms);
            if !was_hub {
                peer.expect_only_requested();
            }
            is_newer
        };
        if !self.change(&daemon, apply) {
            return false;
        }
        for entry in known {
            if entry.name != self.own.name {
                self.change(&entry, |peer| peer.record_announced(entry.clone(), now_ms));
            }
        }
        self.forget_sums();
        true
    }

    /// Applies a report. Returns false if it is not newer than the last one of its sender.
    pub fn apply_report(&mut self, report: &Report, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        self.change(&report.daemon, |peer| peer.apply_report(report, now_ms))
    }

    /// Applies the quota state that a hub announced. Returns false if it is outdated or its sender
    /// is unknown.
    pub fn apply_quotas(&mut self, part: &QuotasPart, now_ms: u64) -> bool {
        let peer = self.peers.get_mut(part.name.as_str());
        peer.is_some_and(|p| p.apply_quotas(part, now_ms))
    }

    /// Applies the loads that a daemon announced. Returns false if the sender is no hub.
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
            self.forget_sums();
        }
        true
    }

    /// Keeps the tokens that go with a part of a hub's loads, until this part is applied.
    pub fn apply_held(&mut self, part: &LoadsPart, held: HeldPart) {
        let peer = self.peers.get_mut(part.name.as_str());
        let peer = peer.filter(|p| p.as_hub().is_some());
        if let Some(hub) = peer.and_then(|p| p.hub.as_mut()) {
            hub.loads.apply_held(part, held);
        }
    }

    /// Drops the cached sums, after a change of the loads or of the hubs.
    fn forget_sums(&mut self) {
        self.loads.take();
        self.held.take();
    }

    /// Changes a peer, which is created if it is unknown, and updates the index.
    fn change<T>(&mut self, entry: &DaemonEntry, change: impl FnOnce(&mut Peer) -> T) -> T {
        let known = self.peers.get_key_value(entry.name.as_str());
        let name = known.map_or_else(|| entry.name.as_str().into(), |(name, _)| name.clone());
        let now_ms = self.now_ms;
        let create = || Peer::from_announcement(entry.clone(), now_ms);
        let peer = self.peers.entry(name.clone()).or_insert_with(create);
        self.index.remove(&name, peer);
        let changed = change(peer);
        self.index.add(&name, peer);
        changed
    }

    /// Sets the time and the number of daemons that send their admission queries to this one, and
    /// removes daemons that were silent for [`RETENTION_MS`].
    pub fn tick(&mut self, dependents: u32, now_ms: u64) {
        self.now_ms = now_ms;
        self.own_dependents = dependents;
        let index = &mut self.index;
        self.peers.retain(|name, peer| {
            let is_kept = now_ms < peer.last_known_ms() + RETENTION_MS;
            match is_kept {
                true if peer.is_candidate(now_ms) => {}
                true => index.unrank(name, peer),
                false => index.remove(name, peer),
            }
            is_kept
        });
        self.forget_sums();
        let is_hub = self.is_hub();
        if self.was_hub && !is_hub {
            self.peers
                .values_mut()
                .for_each(Peer::expect_only_requested);
        }
        self.was_hub = is_hub;
    }

    /// Returns the number of peers that lookups in this table have examined so far.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Returns the peers with these names.
    pub(super) fn named<'a>(
        &'a self,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> impl Iterator<Item = &'a Peer> {
        let peers = names.filter_map(|name| self.peers.get(name));
        peers.inspect(|_| self.count_examined())
    }

    /// Returns all peers, including silent ones.
    pub(super) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().inspect(|_| self.count_examined())
    }

    /// Returns the peers whose last digest or report says that they are hubs, including silent
    /// ones.
    pub(super) fn known_hubs(&self) -> impl Iterator<Item = &Peer> {
        self.named(self.index.hubs())
    }

    /// Returns whether this daemon is a hub of its failure domain: it admits and places its own
    /// requests, and those of the daemons that query it.
    pub fn is_hub(&self) -> bool {
        let first = self
            .domain_candidates(&self.own.domain)
            .take(HUBS_PER_DOMAIN);
        let ahead = first.filter(|p| p.rank > self.own_rank);
        ahead.count() < HUBS_PER_DOMAIN
    }

    /// Returns the hubs of the own failure domain, in the order in which they are queried.
    pub fn own_hubs(&self) -> Vec<SocketAddr> {
        let hubs = self.hubs_of(&self.own.domain);
        hubs.map(|p| p.entry.address).collect()
    }

    /// Returns the live daemons of the own failure domain that are not hubs.
    pub fn own_members(&self) -> BTreeSet<SocketAddr> {
        let there = self.domain_candidates(&self.own.domain);
        let members = there.filter(|p| p.as_hub().is_none());
        members.map(|p| p.entry.address).collect()
    }

    pub(super) fn hubs_of<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.domain_candidates(domain).take(HUBS_PER_DOMAIN)
    }

    /// Returns the live daemons of a failure domain that are not leaving, highest rank first: the
    /// first ones are its hubs.
    pub(super) fn domain_candidates<'a>(
        &'a self,
        domain: &'a str,
    ) -> impl Iterator<Item = &'a Peer> {
        let ranked = self.named(self.index.ranked(domain));
        ranked.filter(|p| p.is_candidate(self.now_ms))
    }

    /// Returns the peers that are hubs by their rank, and those that announce that they are.
    pub(super) fn hubs_anywhere(&self) -> impl Iterator<Item = &Peer> {
        let placed = self.index.domains().flat_map(|d| self.hubs_of(d));
        placed.chain(self.known_hubs())
    }

    /// Returns the addresses to which a hub sends its digests: the hubs of all failure domains,
    /// and former hubs that may only be cut off.
    pub fn hub_addresses(&self) -> BTreeSet<SocketAddr> {
        self.hubs_anywhere().map(|p| p.entry.address).collect()
    }

    /// Returns the incarnations of other hubs that receive this hub's digests. A hub that is silent
    /// for a while is the same listener when its messages arrive again.
    pub fn listening_hubs(&self) -> BTreeSet<Listener> {
        let seen = self.hubs_anywhere().filter(|p| p.last_seen_ms.is_some());
        seen.map(|p| (p.entry.address, p.incarnation)).collect()
    }

    /// Returns the daemons of the own failure domain that became silent. They still get digests, so
    /// that a daemon that restarts learns of the others.
    pub fn silent_neighbours(&self) -> Vec<SocketAddr> {
        let silent = self.all().filter(|p| {
            p.entry.domain == self.own.domain
                && p.last_seen_ms.is_some()
                && p.is_silent(self.now_ms)
        });
        silent.map(|p| p.entry.address).collect()
    }

    /// Returns daemons to name to a daemon of a failure domain: the highest-ranked ones of that
    /// domain, and a random sample of the hubs of the other domains.
    pub fn sample_daemons_for(&self, domain: &str, rng: &mut impl Rng) -> Vec<DaemonEntry> {
        let near = self.domain_candidates(domain).take(MAX_DOMAIN_SAMPLE);
        let mut named: Vec<DaemonEntry> = near.map(|p| p.entry.clone()).collect();
        let hubs = self.hubs_anywhere();
        let far = hubs.filter(|p| p.entry.domain != domain && p.is_candidate(self.now_ms));
        let far: BTreeMap<&str, &Peer> = far.map(|p| (p.entry.name.as_str(), p)).collect();
        let left = MAX_DIGEST_DAEMONS.saturating_sub(named.len());
        let drawn = far.into_values().choose_multiple(rng, left);
        named.extend(drawn.into_iter().map(|p| p.entry.clone()));
        named
    }

    /// Records the extension level that a daemon's digest or report names. The level of an
    /// incarnation never decreases: a datagram without a level may only have had no room for it,
    /// or be the copy of the message in an earlier version.
    pub fn record_level(&mut self, name: &str, level: u8) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.level = peer.level.max(level);
        }
    }

    /// Returns the extension level of the daemon at an address; 0 if it has named none.
    pub fn level_at(&self, address: SocketAddr) -> u8 {
        let peer = self.named(self.index.at(address).into_iter()).next();
        peer.map_or(0, |p| p.level)
    }

    /// Returns the addresses of all live daemons.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live().map(|p| p.entry.address).collect()
    }

    /// Returns whether a daemon counts as a hub, by the messages that it sent itself.
    pub fn counts_as_hub(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.as_hub().is_some())
    }

    /// Returns whether any other hub is live.
    pub fn has_live_hubs(&self) -> bool {
        self.live_hubs().next().is_some()
    }

    /// Returns whether the report that is now sent to the hub at an address has to request a digest:
    /// none arrived yet, or the hub's last message would be too old when the next report is sent, at
    /// most `next_ms` later.
    pub fn wants_digest(&self, hub: SocketAddr, next_ms: u64) -> bool {
        let peer = self.named(self.index.at(hub).into_iter()).next();
        let last_seen_ms = peer.and_then(|p| p.last_seen_ms);
        last_seen_ms.is_none_or(|at_ms| self.now_ms + next_ms >= at_ms + WANTED_AGE_MS)
    }

    /// Returns the live peers.
    pub(super) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|p| p.is_live(self.now_ms))
    }

    /// Returns the digests of the live hubs.
    pub(super) fn live_hubs(&self) -> impl Iterator<Item = &Digest> {
        let live = self.known_hubs().filter(|p| p.is_live(self.now_ms));
        live.filter_map(|p| p.as_hub().map(|hub| &hub.digest))
    }
}
