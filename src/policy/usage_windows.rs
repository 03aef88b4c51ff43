use {crate::names::ClientAccount, std::collections::BTreeMap};

/// How many windows are kept.
const KEPT_WINDOWS: usize = 8;

/// Requests that began to run, by tenant.
pub type TenantCounts = BTreeMap<ClientAccount, u64>;

/// Counts of requests that began to run, by window of the wall clock.
#[derive(Clone, Debug, Default)]
pub struct UsageWindows {
    own: BTreeMap<u64, TenantCounts>,
    /// By source, its own counts; they only grow.
    others: BTreeMap<(String, u64), BTreeMap<u64, TenantCounts>>,
}

impl UsageWindows {
    /// Notes a request that began here.
    pub fn note(&mut self, window: u64, tenant: &ClientAccount) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(tenant.clone()).or_default() += 1;
        trim(&mut self.own);
    }

    /// Returns the counts of this daemon's newest windows.
    pub fn newest(&self, windows: usize) -> Vec<(u64, TenantCounts)> {
        let newest = self.own.iter().rev().take(windows);
        newest.map(|(w, c)| (*w, c.clone())).collect()
    }

    /// Takes in what one life of another daemon has counted.
    pub fn merge(&mut self, node: &str, incarnation: u64, counts: &[(u64, TenantCounts)]) {
        let known = self
            .others
            .entry((node.to_string(), incarnation))
            .or_default();
        for (window, theirs) in counts {
            let mine = known.entry(*window).or_default();
            for (tenant, count) in theirs {
                let most = mine.entry(tenant.clone()).or_default();
                *most = (*most).max(*count);
            }
        }
        trim(known);
    }

    /// Returns the counts of a window over all daemons.
    pub fn total(&self, window: u64) -> TenantCounts {
        let mut total = TenantCounts::new();
        let others = self.others.values().filter_map(|w| w.get(&window));
        for counts in self.own.get(&window).into_iter().chain(others) {
            for (tenant, count) in counts {
                *total.entry(tenant.clone()).or_default() += count;
            }
        }
        total
    }

    /// Forgets sources that have nothing at or after a window.
    pub fn forget_before(&mut self, window: u64) {
        self.others
            .retain(|_, counts| counts.keys().any(|w| *w >= window));
    }
}

fn trim(counts: &mut BTreeMap<u64, TenantCounts>) {
    while counts.len() > KEPT_WINDOWS {
        counts.pop_first();
    }
}
