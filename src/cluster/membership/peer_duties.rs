use {
    super::peer_table::PeerTable,
    crate::cluster::DutyDaemon,
    std::{collections::HashMap, net::SocketAddr},
};

/// The daemons that hold the duties or are ready to take them over.
impl PeerTable {
    /// Returns how many live hubs of all failure domains rank ahead of this daemon.
    pub fn hubs_ahead(&self) -> usize {
        let hubs = self.known_hubs().filter(|p| p.is_live(self.now_ms));
        hubs.filter(|p| p.rank > self.own_rank).count()
    }

    /// Returns the daemons that hold the duties or are ready to take them over, by address and
    /// incarnation, as live hubs announce and holders report. The value is true for holders.
    pub fn duty_daemons(&self) -> HashMap<(SocketAddr, u64), bool> {
        let announced = self
            .live_hubs()
            .flat_map(|d| d.duty_daemons.iter().copied());
        let announced = announced.chain(self.reporting_duty_holders());
        announced
            .map(|d| ((d.address, d.incarnation), d.holds))
            .collect()
    }

    /// Returns the daemons that hold the duties without being hubs, as they report it. Only hubs
    /// send digests, so without this list no daemon would send such a holder what it needs for
    /// its duties.
    pub fn reporting_duty_holders(&self) -> Vec<DutyDaemon> {
        let holders = self.named(self.index.duty_holders());
        let live = holders.filter(|p| p.is_live(self.now_ms));
        let members = live.filter(|p| p.as_hub().is_none());
        let holders = members.map(|p| DutyDaemon {
            address: p.entry.address,
            incarnation: p.incarnation,
            holds: true,
        });
        holders.collect()
    }

    /// Returns whether another live daemon announces that it holds the duties.
    pub fn has_duty_holder(&self) -> bool {
        let mut daemons = self.duty_daemons().into_iter();
        daemons.any(|((address, _), holds)| holds && address != self.own.address)
    }
}
