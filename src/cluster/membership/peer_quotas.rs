use {
    super::{peer::Peer, peer_table::PeerTable},
    crate::{
        names::ClientAccount,
        policy::{OtherDaemon, ReceivedQuota},
    },
    std::collections::HashMap,
};

/// The time between two digests of a small system's hub, in milliseconds.
const DIGEST_EVERY_MS: u64 = 250;
/// With how many hubs the time between digests begins to grow, so that what
/// each has to hear stays bounded.
const FEW_HUBS: usize = 20;
/// How long a silent hub's part of the quotas stays its own, in milliseconds.
const RESERVED_MS: u64 = 30_000;
/// Of those that let requests in through a hub, how many must have gone over to
/// another for that one to have taken its place.
const TAKEN_OVER_PART: f64 = 0.5;

/// What is known of the other hubs' parts of quotas.
impl PeerTable {
    /// Returns how many daemons there are, this one included, as far as is
    /// known.
    pub fn daemons(&self) -> usize {
        let hubs: Vec<&Peer> = self.reserved().collect();
        if self.is_hub() {
            let others: u32 = hubs.iter().map(|p| p.dependents().max(1)).sum();
            return (others + self.own_dependents) as usize;
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
                    last_seen_ms: peer.last_seen_ms.unwrap_or(0),
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
    pub fn received_quota(&self, account: &ClientAccount) -> Option<ReceivedQuota> {
        let hubs = self.known_hubs().filter_map(|p| p.as_hub());
        let told = hubs.filter_map(|hub| hub.quotas.get(account));
        let (told, at_ms) = told.max_by_key(|(_, at_ms)| *at_ms)?;
        Some(ReceivedQuota {
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
            && took_over(self.own_dependents, peer.dependents())
    }

    /// The same for any other hub of its failure domain.
    fn is_replaced_there(&self, peer: &Peer) -> bool {
        peer.is_late(self.now_ms)
            && self.known_hubs().any(|other| {
                other.entry.domain == peer.entry.domain
                    && other.is_live(self.now_ms)
                    && !other.is_late(self.now_ms)
                    && took_over(other.dependents(), peer.dependents())
            })
    }

    /// Hubs whose part of the quotas is their own.
    pub(super) fn reserved(&self) -> impl Iterator<Item = &Peer> {
        let heard = self.known_hubs().filter(|p| {
            p.last_seen_ms
                .is_some_and(|heard| self.now_ms < heard + RESERVED_MS)
        });
        heard.filter(|p| !self.is_replaced_there(p))
    }

    /// Returns the time between two digests of a hub, in milliseconds.
    pub fn digest_interval_ms(&self) -> u64 {
        let hubs = self.reserved().count() + 1;
        DIGEST_EVERY_MS * hubs.div_ceil(FEW_HUBS) as u64
    }
}

fn took_over(dependents: u32, before: u32) -> bool {
    // One that nobody else lets requests in through has nothing to take over.
    before > 1 && f64::from(dependents) >= f64::from(before) * TAKEN_OVER_PART
}
