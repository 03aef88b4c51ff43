use {
    super::{peer::Peer, peer_index::PeerIndex},
    crate::{
        cluster::*,
        names::{ClientAccount, UpstreamId},
        policy::{
            DaemonRank, DomainDaemon, HUBS_PER_DOMAIN, OtherDaemon, ReadingSpeed, ToldQuota,
            home_rank,
        },
    },
    rand::{Rng, seq::IteratorRandom},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// The time between two digests of a small system's hub, in milliseconds.
const DIGEST_EVERY_MS: u64 = 250;
/// With how many hubs the time between digests begins to grow, so that what
/// each has to hear stays bounded.
const FEW_HUBS: usize = 20;
/// How long a silent hub's part of the quotas stays its own, in milliseconds.
const RESERVED_MS: u64 = 30_000;
/// After how long without news a daemon is forgotten, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;
/// Of those that let requests in through a hub, how many must have gone over to
/// another for that one to have taken its place.
const TAKEN_OVER_PART: f64 = 0.5;
/// How many daemons of a failure domain are named to one that asks: its hubs,
/// and those that come next.
const NAMED_OF_DOMAIN: usize = 6;

/// Who issues the permits of an upstream that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitIssuer {
    /// This daemon.
    Own,
    /// Another one.
    Other(SocketAddr),
    /// None that this daemon hears.
    Nobody,
}

/// The other daemons, by what they told last. Times are milliseconds of the
/// daemon's steady clock.
#[derive(Debug)]
pub struct PeerTable {
    own: DaemonEntry,
    own_rank: DaemonRank,
    own_leaning: u32,
    peers: BTreeMap<Arc<str>, Peer>,
    index: PeerIndex,
    /// How many peers were looked at so far.
    looked_at: Cell<u64>,
    /// Daemons that were told a configuration lately, by what tellers say.
    told_config: HashMap<SocketAddr, u64>,
    now_ms: u64,
    /// The loads of all other hubs; none after a change.
    loads: RefCell<Option<LoadSums>>,
}

impl PeerTable {
    /// Makes the table of a daemon.
    pub fn new(own: DaemonEntry) -> Self {
        Self {
            own_rank: own.rank(),
            own,
            own_leaning: 1,
            peers: BTreeMap::new(),
            index: PeerIndex::default(),
            looked_at: Cell::new(0),
            told_config: HashMap::new(),
            now_ms: 0,
            loads: RefCell::default(),
        }
    }

    /// Returns who this daemon is.
    pub fn own(&self) -> &DaemonEntry {
        &self.own
    }

    /// Takes in a digest; returns whether it is news.
    pub fn hear_digest(&mut self, digest: Digest, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        if digest.daemon.name == self.own.name {
            return false;
        }
        let (daemon, known) = (digest.daemon.clone(), digest.known.clone());
        if !self.change(&daemon, |peer| peer.hear_digest(digest, now_ms)) {
            return false;
        }
        for entry in known {
            if entry.name != self.own.name {
                self.change(&entry, |peer| peer.note_told(entry.clone(), now_ms));
            }
        }
        self.loads.take();
        true
    }

    /// Takes in a report; returns whether it is news.
    pub fn hear_report(&mut self, report: &Report, now_ms: u64) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        self.change(&report.daemon, |peer| peer.hear_report(report, now_ms))
    }

    /// Takes in what a hub tells of quotas; returns whether it is news.
    pub fn hear_quotas(&mut self, part: &QuotasPart, now_ms: u64) -> bool {
        let peer = self.peers.get_mut(part.name.as_str());
        peer.is_some_and(|p| p.hear_quotas(part, now_ms))
    }

    /// Takes in what a hub has at upstreams; returns whether it is one.
    pub fn hear_loads(&mut self, part: &LoadsPart, now_ms: u64) -> bool {
        let peer = self.peers.get_mut(part.name.as_str());
        let hub = peer
            .filter(|p| p.as_hub().is_some())
            .and_then(|p| p.hub.as_mut());
        let Some(hub) = hub else {
            return false;
        };
        if hub.loads.hear(part.clone()) {
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
    pub fn tick(&mut self, leaning: u32, now_ms: u64) {
        self.now_ms = now_ms;
        self.own_leaning = leaning;
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
    pub fn looked_at(&self) -> u64 {
        self.looked_at.get()
    }

    fn note_looked_at(&self) {
        self.looked_at.set(self.looked_at.get() + 1);
    }

    /// Returns peers of the index.
    fn named<'a>(
        &'a self,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> impl Iterator<Item = &'a Peer> {
        let peers = names.filter_map(|name| self.peers.get(name));
        peers.inspect(|_| self.note_looked_at())
    }

    /// Returns all peers.
    fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().inspect(|_| self.note_looked_at())
    }

    /// Returns those that said last that they are hubs.
    fn told_hubs(&self) -> impl Iterator<Item = &Peer> {
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
    fn of_domain<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Peer> {
        let ranked = self.named(self.index.ranked(domain));
        ranked.filter(|p| p.is_candidate(self.now_ms))
    }

    /// Returns those that are hubs by their place, and those that said that they are.
    fn hubs_anywhere(&self) -> impl Iterator<Item = &Peer> {
        let placed = self.index.domains().flat_map(|d| self.hubs_of(d));
        placed.chain(self.told_hubs())
    }

    /// Returns how many live hubs of all failure domains rank ahead of this
    /// daemon.
    pub fn hubs_ahead(&self) -> usize {
        let hubs = self.told_hubs().filter(|p| p.is_live(self.now_ms));
        hubs.filter(|p| p.rank > self.own_rank).count()
    }

    /// Returns where a hub's digests go to: to the hubs of all failure domains,
    /// and to those that were, as long as they may only be cut off.
    pub fn hub_addresses(&self) -> BTreeSet<SocketAddr> {
        self.hubs_anywhere().map(|p| p.entry.address).collect()
    }

    /// Returns the daemons of the own failure domain that fell silent: one that
    /// starts again hears of the others by being told.
    pub fn silent_neighbours(&self) -> Vec<SocketAddr> {
        let silent = self.all().filter(|p| {
            p.entry.domain == self.own.domain && p.heard_ms.is_some() && p.is_silent(self.now_ms)
        });
        silent.map(|p| p.entry.address).collect()
    }

    /// Returns daemons to name to one of a failure domain: the first ones of
    /// that domain, and some hubs of the others, drawn anew each time.
    pub fn named_for(&self, domain: &str, rng: &mut impl Rng) -> Vec<DaemonEntry> {
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
    pub fn note_level(&mut self, name: &str, level: u8) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.level = peer.level.max(level);
        }
    }

    /// Returns up to which kind of extension the daemon at an address knows all, as far as
    /// it was heard.
    pub fn level_at(&self, address: SocketAddr) -> u8 {
        let peer = self.named(self.index.at(address).into_iter()).next();
        peer.map_or(0, |p| p.level)
    }

    /// Returns who issues the permits of an upstream that names a limit, by the hash of
    /// its name and its failure domain: a hub of that domain, if there is one. Whoever is
    /// cut off from it is cut off from the upstream, too, as a rule. All daemons that know
    /// the same hubs return the same one.
    pub fn permit_issuer(&self, upstream: u64, domain: &str, own_issues: bool) -> PermitIssuer {
        let key = |rank: DaemonRank, at: &str| (at == domain, home_rank(rank.drawn(), upstream));
        let others = self.told_hubs();
        let others = others.filter(|p| p.issues_permits(self.now_ms));
        let others = others.map(|p| {
            let issuer = PermitIssuer::Other(p.entry.address);
            (key(p.rank, &p.entry.domain), issuer)
        });
        let own = own_issues.then(|| (key(self.own_rank, &self.own.domain), PermitIssuer::Own));
        let first = others.chain(own).max_by_key(|(key, _)| *key);
        first.map_or(PermitIssuer::Nobody, |(_, issuer)| issuer)
    }

    /// Returns how many requests hubs, and those that ask them, have at an upstream whose
    /// builds know of no limits.
    pub fn unaware_at(&self, id: &UpstreamId) -> u32 {
        let hubs = self.told_hubs();
        let hubs = hubs.filter(|p| p.level < LIMITS_LEVEL && p.has_fresh_loads(self.now_ms));
        let loads = hubs.filter_map(|p| p.as_hub()).flat_map(|h| &h.loads.loads);
        let there = loads.filter(|(at, ..)| at == id);
        there.map(|(_, active, _)| *active).sum()
    }

    /// Returns the addresses of daemons that are alive.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live().map(|p| p.entry.address).collect()
    }

    /// Returns whether any hub's digest came lately.
    pub fn hears_hubs(&self) -> bool {
        self.live_hubs().next().is_some()
    }

    /// Returns whether a digest is due from a hub at an address, if the newest
    /// is `wanted_ms` old.
    pub fn wants_digest(&self, hub: SocketAddr, wanted_ms: u64) -> bool {
        let peer = self.named(self.index.at(hub).into_iter()).next();
        let heard_ms = peer.and_then(|p| p.heard_ms);
        heard_ms.is_none_or(|heard| self.now_ms >= heard + wanted_ms)
    }

    /// Returns how many daemons there are, this one included, as far as is
    /// known.
    pub fn daemons(&self) -> usize {
        let hubs: Vec<&Peer> = self.reserved().collect();
        if self.is_hub() {
            let others: u32 = hubs.iter().map(|p| p.leaning().max(1)).sum();
            return (others + self.own_leaning) as usize;
        }
        let told = self.live_hubs().map(|d| d.daemons as usize).max();
        told.unwrap_or(0).max(hubs.len() + 1)
    }

    /// Returns what is known of the other hubs, by client account.
    pub fn quota_daemons(&self) -> HashMap<ClientAccount, Vec<OtherDaemon>> {
        let mut daemons: HashMap<ClientAccount, Vec<OtherDaemon>> = HashMap::new();
        for peer in self.reserved() {
            let Some(hub) = peer.as_hub() else { continue };
            let replaced = self.is_replaced_here(peer);
            for (account, (told, _)) in &hub.quotas {
                let other = OtherDaemon {
                    node: peer.entry.name.clone(),
                    weight: f64::from(told.weight),
                    heard_ms: peer.heard_ms.unwrap_or(0),
                    late: !replaced && peer.is_late(self.now_ms),
                    silent: !replaced && peer.is_silent(self.now_ms),
                    replaced,
                };
                match daemons.get_mut(account) {
                    Some(others) => others.push(other),
                    None => {
                        daemons.insert(account.clone(), vec![other]);
                    }
                }
            }
        }
        daemons
    }

    /// Returns what this daemon was told of an account's quota by the hub that
    /// told it last.
    pub fn told_quota(&self, account: &ClientAccount) -> Option<ToldQuota> {
        let hubs = self.told_hubs().filter_map(|p| p.as_hub());
        let told = hubs.filter_map(|hub| hub.quotas.get(account));
        let (told, at_ms) = told.max_by_key(|(_, at_ms)| *at_ms)?;
        Some(ToldQuota {
            level: f64::from(told.level),
            demand: f64::from(told.demand),
            at_ms: *at_ms,
        })
    }

    /// Returns whether most of those that let requests in through a hub that is
    /// late do so through this one now: its part of the quotas is this one's.
    fn is_replaced_here(&self, peer: &Peer) -> bool {
        peer.entry.domain == self.own.domain
            && peer.is_late(self.now_ms)
            && took_over(self.own_leaning, peer.leaning())
    }

    /// The same for any other hub of its failure domain.
    fn is_replaced_there(&self, peer: &Peer) -> bool {
        peer.is_late(self.now_ms)
            && self.told_hubs().any(|other| {
                other.entry.domain == peer.entry.domain
                    && other.is_live(self.now_ms)
                    && !other.is_late(self.now_ms)
                    && took_over(other.leaning(), peer.leaning())
            })
    }

    /// Returns how many other hubs' loads count, and how old they are in sum, in
    /// milliseconds.
    pub fn loads_ages(&self) -> (u64, u64) {
        let fresh = self.told_hubs();
        let fresh = fresh.filter(|p| p.has_fresh_loads(self.now_ms));
        let ages = fresh.filter_map(|p| p.as_hub());
        let ages = ages.map(|hub| self.now_ms.saturating_sub(hub.loads_ms));
        ages.fold((0, 0), |(count, sum), age_ms| (count + 1, sum + age_ms))
    }

    /// Tells what other hubs, and those that ask them, have at upstreams: requests
    /// and waiting prompt tokens.
    pub fn each_load(&self, mut tell: impl FnMut(&UpstreamId, u32, u64)) {
        let mut cached = self.loads.borrow_mut();
        let told = cached.get_or_insert_with(|| {
            let mut told = LoadSums::default();
            let fresh = self.told_hubs();
            let fresh = fresh.filter(|p| p.has_fresh_loads(self.now_ms));
            for hub in fresh.filter_map(|p| p.as_hub()) {
                for (id, active, tokens) in &hub.loads.loads {
                    add_load(&mut told, id, *active, *tokens);
                }
            }
            told
        });
        for (id, (active, tokens)) in told.iter() {
            tell(id, *active, *tokens);
        }
    }

    /// Returns the work that other live hubs were offered a second.
    pub fn demand_of(&self, service: &str) -> f64 {
        let told = self.live_hubs().flat_map(|d| &d.demand);
        let told = told.filter(|(name, _)| name == service);
        told.map(|(_, per_s)| f64::from(*per_s)).sum()
    }

    /// Returns what other live hubs learned of how fast a service's engines
    /// read.
    pub fn reading_speeds(&self, service: &str) -> Vec<ReadingSpeed> {
        let told = self.live_hubs().filter_map(|d| d.reading_speed(service));
        told.collect()
    }

    /// Returns the daemons that hold the duties or are ready to, by what live
    /// hubs say.
    pub fn duty_daemons(&self) -> HashMap<(SocketAddr, u64), bool> {
        let told = self
            .live_hubs()
            .flat_map(|d| d.duty_daemons.iter().copied());
        let told = told.chain(self.reporting_duty_holders());
        told.map(|d| ((d.address, d.life), d.holds)).collect()
    }

    /// Returns the daemons that hold the duties without being hubs, by what they report:
    /// only hubs tell of themselves. Without this nobody would tell such a holder what to
    /// report.
    pub fn reporting_duty_holders(&self) -> Vec<DutyDaemon> {
        let holders = self.named(self.index.duty_holders());
        let live = holders.filter(|p| p.is_live(self.now_ms));
        let members = live.filter(|p| p.as_hub().is_none());
        let holders = members.map(|p| DutyDaemon {
            address: p.entry.address,
            life: p.life,
            holds: true,
        });
        holders.collect()
    }

    /// Returns whether another live daemon says that it holds the duties.
    pub fn has_duty_holder(&self) -> bool {
        let mut daemons = self.duty_daemons().into_iter();
        daemons.any(|((address, _), holds)| holds && address != self.own.address)
    }

    /// Returns the live daemons of the own failure domain that could read the
    /// shared source.
    pub fn domain_daemons(&self) -> Vec<DomainDaemon<SocketAddr>> {
        let there = self.of_domain(&self.own.domain);
        let daemons = there.map(|p| DomainDaemon {
            rank: p.rank,
            address: p.entry.address,
            cut_from_source: p.status.cut_from_source,
        });
        daemons.collect()
    }

    /// Returns the live daemons that can reach their source, or follow one that
    /// can, and whose news are younger than `stale_ms`: those of the own failure
    /// domain first, then by the age of their news.
    pub fn best_informed(&self, stale_ms: u64) -> Vec<SocketAddr> {
        let informed = self
            .live()
            .filter(|p| !p.status.cut_from_source && p.status.source_age_ms < stale_ms);
        let mut informed: Vec<_> = informed
            .map(|p| {
                let is_far = p.entry.domain != self.own.domain;
                (is_far, p.status.source_age_ms, p.entry.address)
            })
            .collect();
        informed.sort();
        let mut addresses: Vec<_> = informed.into_iter().map(|(.., a)| a).collect();
        // Of those that are only told of, nothing is known: they come last.
        let told = self.live().filter(|p| p.heard_ms.is_none());
        addresses.extend(told.map(|p| p.entry.address));
        addresses
    }

    /// Takes in that a daemon has a version of the configuration, or will soon.
    pub fn hear_config(&mut self, address: SocketAddr, version: u64) {
        let told = self.told_config.entry(address).or_default();
        *told = version.max(*told);
        let newest = self.told_config.values().copied().max();
        self.told_config.retain(|_, told| Some(*told) == newest);
        let name = self.index.at(address);
        if let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) {
            peer.status.config_version = peer.status.config_version.max(version);
        }
    }

    /// Returns the newest version of the configuration that a live daemon has.
    pub fn newest_config(&self) -> Option<u64> {
        self.live().map(|p| p.status.config_version).max()
    }

    /// Returns the daemons that have the newest configuration, if it is later
    /// than `version`: those of the own failure domain and those told of it
    /// lately, or all if there are none.
    pub fn config_holders(&self, version: u64) -> Vec<SocketAddr> {
        let told = self.told_config.values().copied().max();
        let newest = self.newest_config().max(told).filter(|n| *n > version);
        let has_it = |p: &&Peer| Some(p.status.config_version) == newest;
        let (near, far): (Vec<_>, Vec<_>) = self
            .live()
            .filter(has_it)
            .partition(|p| p.entry.domain == self.own.domain);
        let told = self.told_config.iter().filter(|(_, v)| Some(**v) == newest);
        let mut holders: BTreeSet<SocketAddr> = told.map(|(address, _)| *address).collect();
        holders.extend(near.iter().map(|p| p.entry.address));
        if holders.is_empty() {
            holders.extend(far.iter().map(|p| p.entry.address));
        }
        holders.remove(&self.own.address);
        holders.into_iter().collect()
    }

    /// Hubs whose part of the quotas is their own.
    fn reserved(&self) -> impl Iterator<Item = &Peer> {
        let heard = self.told_hubs().filter(|p| {
            p.heard_ms
                .is_some_and(|heard| self.now_ms < heard + RESERVED_MS)
        });
        heard.filter(|p| !self.is_replaced_there(p))
    }

    fn live(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|p| p.is_live(self.now_ms))
    }

    fn live_hubs(&self) -> impl Iterator<Item = &Digest> {
        let live = self.told_hubs().filter(|p| p.is_live(self.now_ms));
        live.filter_map(|p| p.as_hub().map(|hub| &hub.digest))
    }

    /// Returns the time between two digests of a hub, in milliseconds.
    pub fn digest_every_ms(&self) -> u64 {
        let hubs = self.reserved().count() + 1;
        DIGEST_EVERY_MS * hubs.div_ceil(FEW_HUBS) as u64
    }
}

fn took_over(leaning: u32, before: u32) -> bool {
    // One that nobody else lets requests in through has nothing to take over.
    before > 1 && f64::from(leaning) >= f64::from(before) * TAKEN_OVER_PART
}
