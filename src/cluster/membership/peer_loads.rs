use {
    super::peer_table::PeerTable,
    crate::{
        cluster::{LIMITS_LEVEL, LoadSums, add_load},
        names::UpstreamId,
        policy::{DaemonRank, ReadingSpeed, home_rank},
    },
    std::net::SocketAddr,
};

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

/// What is known of upstreams from the other hubs.
impl PeerTable {
    /// Returns who issues the permits of an upstream that names a limit, by the hash of
    /// its name and its failure domain: a hub of that domain, if there is one. Whoever is
    /// cut off from it is cut off from the upstream, too, as a rule. All daemons that know
    /// the same hubs return the same one.
    pub fn permit_issuer(&self, upstream: u64, domain: &str, own_issues: bool) -> PermitIssuer {
        let key = |rank: DaemonRank, at: &str| (at == domain, home_rank(rank.drawn(), upstream));
        let others = self.known_hubs();
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
    pub fn active_without_permits(&self, id: &UpstreamId) -> u32 {
        let hubs = self.known_hubs();
        let hubs = hubs.filter(|p| p.level < LIMITS_LEVEL && p.has_fresh_loads(self.now_ms));
        let loads = hubs.filter_map(|p| p.as_hub()).flat_map(|h| &h.loads.loads);
        let there = loads.filter(|(at, ..)| at == id);
        there.map(|(_, active, _)| *active).sum()
    }

    /// Returns how many other hubs' loads count, and how old they are in sum, in
    /// milliseconds.
    pub fn loads_ages(&self) -> (u64, u64) {
        let fresh = self.known_hubs();
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
            let fresh = self.known_hubs();
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
}
