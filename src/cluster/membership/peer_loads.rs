use {
    super::peer_table::PeerTable,
    crate::{
        cluster::{HeldSums, LIMITS_LEVEL, LoadSums, SLOTS_LEVEL, add_load},
        names::UpstreamId,
        policy::{DaemonRank, HeldTokens, PrefillSpeed, home_rank},
    },
    std::net::SocketAddr,
};

/// The daemon that issues the permits of an upstream that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitIssuer {
    /// This daemon.
    Own,
    /// Another daemon, by its address.
    Other(SocketAddr),
    /// No live daemon that is known here issues permits.
    Nobody,
}

/// The state of upstreams, as the other hubs announce it.
impl PeerTable {
    /// Returns the issuer of the permits of an upstream that names a limit. It is chosen by the
    /// hash of the upstream's name among the hubs of its failure domain, or among all hubs if
    /// that domain has none: a daemon that is cut off from a hub of that domain is usually cut
    /// off from the upstream, too. All daemons that know the same hubs choose the same issuer.
    pub fn permit_issuer(&self, upstream: u64, domain: &str, own_issues: bool) -> PermitIssuer {
        self.issuer(upstream, domain, own_issues, LIMITS_LEVEL)
    }

    /// Returns the daemon that gives out the slots of an upstream that bears few rejections, chosen like
    /// the issuer of permits.
    pub fn slot_issuer(&self, upstream: u64, domain: &str, own_issues: bool) -> PermitIssuer {
        self.issuer(upstream, domain, own_issues, SLOTS_LEVEL)
    }

    /// Returns the issuer among the hubs whose builds support extensions of a level.
    fn issuer(&self, upstream: u64, domain: &str, own_issues: bool, level: u8) -> PermitIssuer {
        let key =
            |rank: DaemonRank, at: &str| (at == domain, home_rank(rank.name_hash(), upstream));
        let others = self.known_hubs();
        let others = others.filter(|p| p.is_issuer(level, self.now_ms));
        let others = others.map(|p| {
            let issuer = PermitIssuer::Other(p.entry.address);
            (key(p.rank, &p.entry.domain), issuer)
        });
        let own = own_issues.then(|| (key(self.own_rank, &self.own.domain), PermitIssuer::Own));
        let first = others.chain(own).max_by_key(|(key, _)| *key);
        first.map_or(PermitIssuer::Nobody, |(_, issuer)| issuer)
    }

    /// Returns how many requests are at an upstream from hubs whose builds don't support limits,
    /// and from the dependents of these hubs.
    pub fn active_without_permits(&self, id: &UpstreamId) -> u32 {
        let hubs = self.known_hubs();
        let hubs = hubs.filter(|p| p.level < LIMITS_LEVEL && p.has_fresh_loads(self.now_ms));
        let loads = hubs.filter_map(|p| p.as_hub()).flat_map(|h| &h.loads.loads);
        let there = loads.filter(|(at, ..)| at == id);
        there.map(|(_, active, _)| *active).sum()
    }

    /// Returns the number of other hubs whose loads are counted, and the sum of the ages of these
    /// loads, in milliseconds.
    pub fn loads_ages(&self) -> (u64, u64) {
        let fresh = self.known_hubs();
        let fresh = fresh.filter(|p| p.has_fresh_loads(self.now_ms));
        let ages = fresh.filter_map(|p| p.as_hub());
        let ages = ages.map(|hub| self.now_ms.saturating_sub(hub.loads_ms));
        ages.fold((0, 0), |(count, sum), age_ms| (count + 1, sum + age_ms))
    }

    /// Calls `visit` with each upstream at which other hubs or their dependents have requests, the
    /// number of these requests, and their waiting prompt tokens.
    pub fn each_load(&self, mut visit: impl FnMut(&UpstreamId, u32, u64)) {
        let mut cached = self.loads.borrow_mut();
        let sums = cached.get_or_insert_with(|| {
            let mut sums = LoadSums::default();
            let fresh = self.known_hubs();
            let fresh = fresh.filter(|p| p.has_fresh_loads(self.now_ms));
            for hub in fresh.filter_map(|p| p.as_hub()) {
                for (id, active, tokens) in &hub.loads.loads {
                    add_load(&mut sums, id, *active, *tokens);
                }
            }
            sums
        });
        for (id, (active, tokens)) in sums.iter() {
            visit(id, *active, *tokens);
        }
    }

    /// Calls `visit` with each upstream at which other hubs or their dependents have requests, and the
    /// tokens that these hold in its memory.
    pub fn each_held(&self, mut visit: impl FnMut(&UpstreamId, HeldTokens)) {
        let mut cached = self.held.borrow_mut();
        let sums = cached.get_or_insert_with(|| {
            let mut sums = HeldSums::default();
            let fresh = self.known_hubs();
            let fresh = fresh.filter(|p| p.has_fresh_loads(self.now_ms));
            for hub in fresh.filter_map(|p| p.as_hub()) {
                hub.loads.each_held(|id, active, tokens| {
                    sums.entry(id.clone()).or_default().add(active, tokens);
                });
            }
            sums
        });
        for (id, held) in sums.iter() {
            visit(id, *held);
        }
    }

    /// Returns the work per second that other live hubs were offered for a service.
    pub fn demand_of(&self, service: &str) -> f64 {
        let offered = self.live_hubs().flat_map(|d| &d.demand);
        let offered = offered.filter(|(name, _)| name == service);
        offered.map(|(_, per_s)| f64::from(*per_s)).sum()
    }

    /// Returns the prefill speeds of a service's engines that other live hubs measured.
    pub fn prefill_speeds(&self, service: &str) -> Vec<PrefillSpeed> {
        let speeds = self.live_hubs().filter_map(|d| d.prefill_speed(service));
        speeds.collect()
    }
}
