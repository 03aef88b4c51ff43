use {
    crate::cluster::SHARE_RESERVATION_MS,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// How many times a daemon announces that it is no longer a hub. A datagram may be lost, and a
/// daemon that receives none of them counts the sender as a hub for as long as its part of the
/// quotas is reserved.
const ANNOUNCEMENTS: u8 = 4;

/// A daemon that may still count this one as a hub.
#[derive(Clone, Copy, Debug)]
struct Listener {
    /// When it last got a digest of this daemon as a hub, or sent one itself.
    contact_ms: u64,
    /// How many times it is still notified.
    announcements_left: u8,
    /// How many further notifications its own digests may cause.
    reminders_left: u8,
}

impl Listener {
    fn new(contact_ms: u64) -> Self {
        Self {
            contact_ms,
            announcements_left: ANNOUNCEMENTS,
            reminders_left: ANNOUNCEMENTS,
        }
    }
}

/// The daemons that may still count this one as a hub after it has ceased to be one. Times are
/// milliseconds of this daemon's steady clock.
#[derive(Debug, Default)]
pub struct FormerListeners {
    listeners: BTreeMap<SocketAddr, Listener>,
    /// How many more times this daemon announces to all hubs that it is no longer a hub.
    announcements_left: u8,
}

impl FormerListeners {
    /// Records the receivers of the newest digest that this daemon sent as a hub.
    pub fn record_announced(&mut self, addresses: BTreeSet<SocketAddr>, now_ms: u64) {
        self.forget_old(now_ms);
        // A daemon that was notified earlier may have heard from others that this one is a hub again.
        for listener in self.listeners.values_mut() {
            *listener = Listener::new(listener.contact_ms);
        }
        let reached = addresses.into_iter().map(|to| (to, Listener::new(now_ms)));
        self.listeners.extend(reached);
        self.announcements_left = ANNOUNCEMENTS;
    }

    /// Removes daemons that no longer count this one as a hub: the share of a hub lapses after this
    /// time.
    fn forget_old(&mut self, now_ms: u64) {
        self.listeners
            .retain(|_, listener| now_ms < listener.contact_ms + SHARE_RESERVATION_MS);
    }

    /// Records that a hub of another failure domain sent a digest while this daemon is not a hub. Such
    /// digests go only to hubs. So the sender counts this daemon as one: it has missed the
    /// notifications, or received an answer that this daemon gave before it knew the hubs of its own
    /// failure domain.
    pub fn record_digest_of(&mut self, hub: SocketAddr, now_ms: u64) {
        let new = Listener::new(now_ms);
        let listener = self.listeners.entry(hub).or_insert(new);
        listener.contact_ms = now_ms;
        if listener.announcements_left == 0 && listener.reminders_left > 0 {
            listener.announcements_left = 1;
            listener.reminders_left -= 1;
        }
    }

    /// Returns the daemons to notify that this one is no longer a hub, and counts one
    /// announcement. None if there is nobody to notify.
    ///
    /// `hubs` are the hubs that this daemon knows now. They are notified too: one that was not a hub
    /// itself yet may have learned from an answer to a query that this daemon is a hub.
    pub fn to_announce(
        &mut self,
        hubs: BTreeSet<SocketAddr>,
        now_ms: u64,
    ) -> Option<BTreeSet<SocketAddr>> {
        self.forget_old(now_ms);
        if let Some(left) = self.announcements_left.checked_sub(1) {
            self.announcements_left = left;
            for hub in hubs {
                self.listeners.entry(hub).or_insert(Listener::new(now_ms));
            }
        }
        let mut notified = BTreeSet::new();
        for (address, listener) in &mut self.listeners {
            if let Some(left) = listener.announcements_left.checked_sub(1) {
                listener.announcements_left = left;
                notified.insert(*address);
            }
        }
        (!notified.is_empty()).then_some(notified)
    }
}
