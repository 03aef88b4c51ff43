use std::{collections::BTreeSet, net::SocketAddr};

/// How many times a daemon announces that it is no longer a hub. A datagram may be lost, and a
/// daemon that receives none of them counts the sender as a hub for as long as its part of the
/// quotas is reserved.
const ANNOUNCEMENTS: u8 = 4;

/// The daemons to which a daemon announced itself as a hub while it was one.
#[derive(Debug, Default)]
pub struct FormerListeners {
    addresses: BTreeSet<SocketAddr>,
    /// How many times the daemon still announces that it is no longer a hub.
    announcements_left: u8,
}

impl FormerListeners {
    /// Records the receivers of the newest digest that the daemon sent as a hub.
    pub fn record_announced(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.addresses = addresses;
        self.announcements_left = ANNOUNCEMENTS;
    }

    /// Returns the daemons to notify that this one is no longer a hub, and counts one
    /// announcement. None if all announcements were made or there are no receivers.
    pub fn to_announce(&mut self) -> Option<&BTreeSet<SocketAddr>> {
        self.announcements_left = self.announcements_left.checked_sub(1)?;
        (!self.addresses.is_empty()).then_some(&self.addresses)
    }
}
