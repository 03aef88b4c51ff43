use {
    super::{peer::Peer, peer_table::PeerTable},
    crate::{
        names::ClientAccount,
        policy::{OtherDaemon, ReceivedQuota},
    },
    std::collections::HashMap,
};

/// The interval between two digests of a hub in a small fleet, in milliseconds.
const BASE_DIGEST_INTERVAL_MS: u64 = 250;
/// Above this number of hubs the interval between digests grows, so that the number of digests that
/// each hub receives per second stays bounded.
const HUBS_AT_BASE_INTERVAL: usize = 20;
/// How long a silent hub's share of the quotas stays reserved for it, in milliseconds.
pub const SHARE_RESERVATION_MS: u64 = 30_000;
/// The fraction of a hub's dependents that another hub must have for it to count as the replacement
/// of that hub.
const TAKEOVER_FRACTION: f64 = 0.5;

/// The other hubs' shares of the quotas.
impl PeerTable {
    /// Returns the number of known daemons, this one included.
    pub fn daemons(&self) -> usize {
        let hubs: Vec<&Peer> = self.share_holders().collect();
        if self.is_hub() {
            let others: u32 = hubs.iter().map(|p| p.dependents().max(1)).sum();
            return (others + self.own_dependents) as usize;
        }
        let announced = self.live_hubs().map(|d| d.daemons as usize).max();
        announced.unwrap_or(0).max(hubs.len() + 1)
    }

    /// Returns the other hubs that share each client account's quota, with their liveness.
    pub fn quota_daemons(&self) -> HashMap<ClientAccount, Vec<OtherDaemon>> {
        let mut daemons: HashMap<ClientAccount, Vec<OtherDaemon>> = HashMap::new();
        for peer in self.share_holders() {
            let Some(hub) = peer.as_hub() else { continue };
            let replaced = self.is_replaced_here(peer);
            for (account, (announced, _)) in &hub.quotas {
                let other = OtherDaemon {
                    node: peer.entry.name.clone(),
                    weight: f64::from(announced.weight),
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

    /// Returns the newest state of an account's quota that a hub announced to this daemon.
    pub fn received_quota(&self, account: &ClientAccount) -> Option<ReceivedQuota> {
        let hubs = self.known_hubs().filter_map(|p| p.as_hub());
        let announced = hubs.filter_map(|hub| hub.quotas.get(account));
        let (newest, at_ms) = announced.max_by_key(|(_, at_ms)| *at_ms)?;
        Some(ReceivedQuota {
            level: f64::from(newest.level),
            demand: f64::from(newest.demand),
            at_ms: *at_ms,
        })
    }

    /// Returns whether this daemon replaces a late hub of its own failure domain: it has enough of
    /// that hub's dependents now, and takes over the hub's share of the quotas.
    fn is_replaced_here(&self, peer: &Peer) -> bool {
        peer.entry.domain == self.own.domain
            && peer.is_late(self.now_ms)
            && has_taken_over(self.own_dependents, peer.dependents())
    }

    /// Returns whether another live hub of its failure domain replaces a late hub in the same way.
    fn is_replaced_there(&self, peer: &Peer) -> bool {
        peer.is_late(self.now_ms)
            && self.known_hubs().any(|other| {
                other.entry.domain == peer.entry.domain
                    && other.is_live(self.now_ms)
                    && !other.is_late(self.now_ms)
                    && has_taken_over(other.dependents(), peer.dependents())
            })
    }

    /// Returns the hubs whose share of the quotas is reserved for them: they sent a message within
    /// [`SHARE_RESERVATION_MS`], and no other hub has replaced them.
    pub(super) fn share_holders(&self) -> impl Iterator<Item = &Peer> {
        let recent = self.known_hubs().filter(|p| {
            p.last_seen_ms
                .is_some_and(|at_ms| self.now_ms < at_ms + SHARE_RESERVATION_MS)
        });
        recent.filter(|p| !self.is_replaced_there(p))
    }

    /// Returns the interval between two digests of a hub, in milliseconds. It grows with the number
    /// of hubs.
    pub fn digest_interval_ms(&self) -> u64 {
        let hubs = self.share_holders().count() + 1;
        BASE_DIGEST_INTERVAL_MS * hubs.div_ceil(HUBS_AT_BASE_INTERVAL) as u64
    }
}

fn has_taken_over(dependents: u32, before: u32) -> bool {
    // A hub without dependents other than itself has nothing to take over.
    before > 1 && f64::from(dependents) >= f64::from(before) * TAKEOVER_FRACTION
}
