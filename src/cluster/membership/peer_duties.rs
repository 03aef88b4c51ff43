use {
    super::peer_table::PeerTable,
    crate::cluster::DutyDaemon,
    std::{collections::HashMap, net::SocketAddr},
};

/// Who holds the duties, or is ready to.
impl PeerTable {
    /// Returns how many live hubs of all failure domains rank ahead of this
    /// daemon.
    pub fn hubs_ahead(&self) -> usize {
        let hubs = self.known_hubs().filter(|p| p.is_live(self.now_ms));
        hubs.filter(|p| p.rank > self.own_rank).count()
    }

    /// Returns the daemons that hold the duties or are ready to, by what live
    /// hubs say.
    pub fn duty_daemons(&self) -> HashMap<(SocketAddr, u64), bool> {
        let told = self
            .live_hubs()
            .flat_map(|d| d.duty_daemons.iter().copied());
        let told = told.chain(self.reporting_duty_holders());
        told.map(|d| ((d.address, d.incarnation), d.holds))
            .collect()
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
            incarnation: p.incarnation,
            holds: true,
        });
        holders.collect()
    }

    /// Returns whether another live daemon says that it holds the duties.
    pub fn has_duty_holder(&self) -> bool {
        let mut daemons = self.duty_daemons().into_iter();
        daemons.any(|((address, _), holds)| holds && address != self.own.address)
    }
}
