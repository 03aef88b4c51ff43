use std::{collections::BTreeSet, net::SocketAddr};

/// How often those that took a daemon for a hub are told that it no longer is one: a
/// datagram may be lost, and they count it as one for as long as its part of the quotas is
/// reserved.
const ANNOUNCEMENTS: u8 = 4;

/// Those that a daemon told of itself as a hub, which it no longer is.
#[derive(Debug, Default)]
pub struct FormerListeners {
    addresses: BTreeSet<SocketAddr>,
    left: u8,
}

impl FormerListeners {
    /// Notes whom the daemon told as a hub, which it still is.
    pub fn record_announced(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.addresses = addresses;
        self.left = ANNOUNCEMENTS;
    }

    /// Returns whom to tell now that it no longer is a hub.
    pub fn to_announce(&mut self) -> Option<&BTreeSet<SocketAddr>> {
        self.left = self.left.checked_sub(1)?;
        (!self.addresses.is_empty()).then_some(&self.addresses)
    }
}
