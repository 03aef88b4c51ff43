use {
    super::Digest,
    crate::{
        names::{ClientAccount, UpstreamId},
        policy::{OtherDaemon, ReadingSpeed, ZoneDaemon},
    },
    rand::{Rng, seq::IteratorRandom},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
};

/// The time between two digests in a small system, in milliseconds.
const DIGEST_EVERY_MS: u64 = 250;
/// With how many daemons the time between digests begins to grow, so that what
/// each has to hear stays bounded.
const SMALL_SYSTEM: usize = 20;
/// After how many digests that did not come a daemon counts as silent.
const SILENT_DIGESTS: f64 = 2.8;
/// After how many it may be cut off.
const LATE_DIGESTS: f64 = 1.6;
/// How long a silent daemon's part of the quotas stays its own, in milliseconds.
const RESERVED_MS: u64 = 30_000;
/// After how long without a digest an address is no longer written to, in
/// milliseconds.
const FORGOTTEN_MS: u64 = 60_000;
/// How many digests old loads may be to count.
const LOADS_DIGESTS: f64 = 4.0;

#[derive(Debug)]
struct Peer {
    digest: Digest,
    heard_ms: u64,
}

/// The other daemons, by what they told last. Times are milliseconds of the
/// daemon's steady clock.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
    /// Addresses that were told but not heard from, with when they were told.
    rumoured: HashMap<SocketAddr, u64>,
    now_ms: u64,
}

impl PeerTable {
    /// Takes in a digest; returns whether it is news.
    pub fn hear(&mut self, digest: Digest, now_ms: u64) -> bool {
        self.now_ms = now_ms;
        if let Some(known) = self.peers.get(&digest.node) {
            let same_life = known.digest.incarnation == digest.incarnation;
            if same_life && digest.sequence <= known.digest.sequence {
                return false;
            }
        }
        for address in &digest.peers {
            self.rumoured.entry(*address).or_insert(now_ms);
        }
        self.rumoured.remove(&digest.address);
        let peer = Peer {
            heard_ms: now_ms,
            digest,
        };
        self.peers.insert(peer.digest.node.clone(), peer);
        true
    }

    /// Notes the time and forgets daemons that have long been silent.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.peers.retain(|_, p| now_ms < p.heard_ms + FORGOTTEN_MS);
        self.rumoured
            .retain(|_, told_ms| now_ms < *told_ms + FORGOTTEN_MS);
    }

    /// Returns where digests go to.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        let heard = self.peers.values().map(|p| p.digest.address);
        heard.chain(self.rumoured.keys().copied()).collect()
    }

    /// Returns the addresses of daemons that were heard from lately.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live().map(|p| p.digest.address).collect()
    }

    /// Returns some live daemons to tell others of: any of them, so that in a
    /// large system each daemon is named by somebody soon.
    pub fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let live = self.live().map(|p| p.digest.address);
        live.choose_multiple(rng, count)
    }

    /// Returns how many others count for the division of quotas.
    pub fn known(&self) -> usize {
        self.reserved().count()
    }

    /// Returns what is known of the other daemons, by tenant.
    pub fn quota_daemons(&self) -> HashMap<ClientAccount, Vec<OtherDaemon>> {
        let mut daemons: HashMap<ClientAccount, Vec<OtherDaemon>> = HashMap::new();
        for peer in self.reserved() {
            for notice in peer.digest.quota_notices() {
                daemons.entry(notice.tenant).or_default().push(OtherDaemon {
                    node: peer.digest.node.clone(),
                    weight: notice.weight,
                    heard_ms: peer.heard_ms,
                    late: self.is_older(peer, LATE_DIGESTS),
                    silent: self.is_silent(peer),
                });
            }
        }
        daemons
    }

    /// Returns requests and waiting tokens that others have at upstreams.
    pub fn loads(&self) -> HashMap<UpstreamId, (u32, u64)> {
        let mut sums: HashMap<UpstreamId, (u32, u64)> = HashMap::new();
        let fresh = self.peers.values();
        let fresh = fresh.filter(|p| !self.is_older(p, LOADS_DIGESTS));
        for (id, active, tokens) in fresh.flat_map(|p| p.digest.typed_loads()) {
            let sum = sums.entry(id).or_default();
            sum.0 += active;
            sum.1 += u64::from(tokens);
        }
        sums
    }

    /// Returns the work that other live daemons were offered a second.
    pub fn demand_of(&self, service: &str) -> f64 {
        let told = self.live().flat_map(|p| &p.digest.demand);
        let told = told.filter(|(name, _)| name == service);
        told.map(|(_, per_s)| f64::from(*per_s)).sum()
    }

    /// Returns what other live daemons learned of how fast a service's engines
    /// read.
    pub fn reading_speeds(&self, service: &str) -> Vec<ReadingSpeed> {
        let told = self.live().filter_map(|p| p.digest.reading_speed(service));
        told.collect()
    }

    /// Returns whether another live daemon says that it holds the duties.
    pub fn has_duty_holder(&self) -> bool {
        self.live().any(|p| p.digest.holds_duties)
    }

    /// Returns the live daemons of a zone.
    pub fn zone_daemons(&self, zone: &str) -> Vec<ZoneDaemon<SocketAddr>> {
        let there = self.live().filter(|p| p.digest.zone == zone);
        let daemons = there.map(|p| ZoneDaemon {
            name: p.digest.node.clone(),
            address: p.digest.address,
            cut_from_source: p.digest.cut_from_source,
        });
        daemons.collect()
    }

    /// Returns the live daemons that can reach their source, or follow one that
    /// can, and whose news are younger than `stale_ms`: those of a zone first,
    /// then by the age of their news.
    pub fn best_informed(&self, zone: &str, stale_ms: u64) -> Vec<SocketAddr> {
        let informed = self.live().map(|p| &p.digest);
        let mut informed: Vec<_> = informed
            .filter(|d| !d.cut_from_source && d.source_age_ms < stale_ms)
            .map(|d| (d.zone != zone, d.source_age_ms, d.address))
            .collect();
        informed.sort();
        informed.into_iter().map(|(.., address)| address).collect()
    }

    /// Takes in that a daemon has a version of the configuration, or will soon.
    pub fn hear_config(&mut self, address: SocketAddr, version: u64) {
        let peers = self.peers.values_mut();
        for peer in peers.filter(|p| p.digest.address == address) {
            peer.digest.config_version = peer.digest.config_version.max(version);
        }
    }

    /// Returns the newest version of the configuration that a live daemon has.
    pub fn newest_config(&self) -> Option<u64> {
        self.live().map(|p| p.digest.config_version).max()
    }

    /// Returns the live daemons that have the newest configuration, if it is
    /// later than `version`: those of a zone, or all if none there has it.
    pub fn config_holders(&self, zone: &str, version: u64) -> Vec<SocketAddr> {
        let newest = self.newest_config().filter(|newest| *newest > version);
        let has_it = |p: &&Peer| Some(p.digest.config_version) == newest;
        let (near, far): (Vec<_>, Vec<_>) = self
            .live()
            .filter(has_it)
            .partition(|p| p.digest.zone == zone);
        let holders = if near.is_empty() { far } else { near };
        holders.iter().map(|p| p.digest.address).collect()
    }

    fn reserved(&self) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(|p| self.now_ms < p.heard_ms + RESERVED_MS)
    }

    fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| !self.is_silent(p))
    }

    /// Returns the time between two digests of a daemon, in milliseconds.
    pub fn digest_every_ms(&self) -> u64 {
        let daemons = self.reserved().count() + 1;
        DIGEST_EVERY_MS * daemons.div_ceil(SMALL_SYSTEM) as u64
    }

    fn is_silent(&self, peer: &Peer) -> bool {
        self.is_older(peer, SILENT_DIGESTS)
    }

    /// Returns whether a daemon was heard last some digests ago.
    fn is_older(&self, peer: &Peer, digests: f64) -> bool {
        let age_ms = self.now_ms.saturating_sub(peer.heard_ms) as f64;
        age_ms >= self.digest_every_ms() as f64 * digests
    }
}
