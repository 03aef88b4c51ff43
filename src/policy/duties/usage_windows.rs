use {
    crate::names::ClientAccount,
    std::collections::{BTreeMap, HashMap},
};

/// Number of newest windows that are kept per incarnation of a daemon.
const MAX_WINDOWS: usize = 8;

/// Numbers of requests that started to run, by client account.
pub type AccountCounts = BTreeMap<ClientAccount, u64>;

/// Usage counts of one incarnation of another daemon, as received from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedUsage {
    /// The daemon's name.
    pub name: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// The incarnation's counts, by window.
    pub windows: Vec<(u64, AccountCounts)>,
}

/// Counts of requests that started to run, by time window of the wall clock.
#[derive(Clone, Debug, Default)]
pub struct UsageWindows {
    /// Counts of this daemon, by window.
    own: BTreeMap<u64, AccountCounts>,
    /// Counts of other daemons, by name and incarnation, then by window. A count only
    /// grows.
    others: BTreeMap<(String, u64), BTreeMap<u64, AccountCounts>>,
    /// When counts of each name and incarnation were last received.
    last_seen_ms: HashMap<(String, u64), u64>,
    /// By daemon: the window before which its announced counts are complete, and when
    /// that was last received.
    announcers: HashMap<String, (u64, u64)>,
}

impl UsageWindows {
    /// Counts a request that started on this daemon.
    pub fn record(&mut self, window: u64, account: &ClientAccount) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        trim(&mut self.own);
    }

    /// Returns this daemon's counts of its newest windows.
    pub fn newest(&self, windows: usize) -> Vec<(u64, AccountCounts)> {
        let newest = self.own.iter().rev().take(windows);
        newest.map(|(w, c)| (*w, c.clone())).collect()
    }

    /// Records that counts of a daemon's incarnation were received.
    pub fn record_contact(&mut self, node: &str, incarnation: u64, now_ms: u64) {
        self.last_seen_ms
            .insert((node.to_string(), incarnation), now_ms);
    }

    /// Returns the counts of other daemons, from a window on, for the incarnations whose
    /// counts were last received before `before_ms`.
    pub fn received(&self, from_window: u64, before_ms: u64) -> Vec<ReceivedUsage> {
        let mut received = Vec::new();
        for ((name, incarnation), windows) in &self.others {
            let last_seen_ms = self.last_seen_ms.get(&(name.clone(), *incarnation));
            if last_seen_ms.is_some_and(|at_ms| *at_ms >= before_ms) {
                continue;
            }
            let recent = windows.range(from_window..);
            let recent: Vec<_> = recent.map(|(w, counts)| (*w, counts.clone())).collect();
            if !recent.is_empty() {
                received.push(ReceivedUsage {
                    name: name.clone(),
                    incarnation: *incarnation,
                    windows: recent,
                });
            }
        }
        received
    }

    /// Merges counts of another daemon's incarnation. The larger of two counts is kept, so
    /// that repeated and reordered announcements do no harm.
    pub fn merge(&mut self, node: &str, incarnation: u64, counts: &[(u64, AccountCounts)]) {
        let known = self
            .others
            .entry((node.to_string(), incarnation))
            .or_default();
        for (window, theirs) in counts {
            let merged = known.entry(*window).or_default();
            for (account, count) in theirs {
                let highest = merged.entry(account.clone()).or_default();
                *highest = (*highest).max(*count);
            }
        }
        trim(known);
    }

    /// Records the window before which a daemon has announced all its counts.
    pub fn record_complete(&mut self, node: &str, complete_before: u64, now_ms: u64) {
        let announcer = self.announcers.entry(node.to_string()).or_default();
        *announcer = (complete_before.max(announcer.0), now_ms);
    }

    /// Returns the number of daemons that announced counts at `since_ms` or later, and
    /// whether all of them have announced their complete counts of a window.
    pub fn usage_completeness(&self, window: u64, since_ms: u64) -> (usize, bool) {
        let recent = self
            .announcers
            .values()
            .filter(|(_, at_ms)| *at_ms >= since_ms);
        let complete: Vec<bool> = recent.map(|(before, _)| *before > window).collect();
        (
            complete.len(),
            complete.iter().all(|is_complete| *is_complete),
        )
    }

    /// Returns the counts of a window, summed over all daemons and their incarnations.
    pub fn total(&self, window: u64) -> AccountCounts {
        let mut total = AccountCounts::new();
        let others = self.others.values().filter_map(|w| w.get(&window));
        for counts in self.own.get(&window).into_iter().chain(others) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }
}

fn trim(counts: &mut BTreeMap<u64, AccountCounts>) {
    while counts.len() > MAX_WINDOWS {
        counts.pop_first();
    }
}
