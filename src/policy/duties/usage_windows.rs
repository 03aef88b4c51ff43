use {
    crate::names::ClientAccount,
    std::collections::{BTreeMap, HashMap},
};

/// How many windows are kept.
const KEPT_WINDOWS: usize = 8;

/// Requests that began to run, by client account.
pub type AccountCounts = BTreeMap<ClientAccount, u64>;

/// Usage counts of one incarnation of another daemon, as received from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedUsage {
    /// The daemon's name.
    pub name: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Its counts by window.
    pub windows: Vec<(u64, AccountCounts)>,
}

/// Counts of requests that began to run, by window of the wall clock.
#[derive(Clone, Debug, Default)]
pub struct UsageWindows {
    own: BTreeMap<u64, AccountCounts>,
    /// By source, its own counts; they only grow.
    others: BTreeMap<(String, u64), BTreeMap<u64, AccountCounts>>,
    /// When something of each source was heard last.
    last_seen_ms: HashMap<(String, u64), u64>,
    /// By daemon, before which window all was told, and when that was heard.
    announcers: HashMap<String, (u64, u64)>,
}

impl UsageWindows {
    /// Notes a request that began here.
    pub fn record(&mut self, window: u64, account: &ClientAccount) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        trim(&mut self.own);
    }

    /// Returns the counts of this daemon's newest windows.
    pub fn newest(&self, windows: usize) -> Vec<(u64, AccountCounts)> {
        let newest = self.own.iter().rev().take(windows);
        newest.map(|(w, c)| (*w, c.clone())).collect()
    }

    /// Notes that something of a life's counts was heard.
    pub fn record_contact(&mut self, node: &str, incarnation: u64, now_ms: u64) {
        self.last_seen_ms
            .insert((node.to_string(), incarnation), now_ms);
    }

    /// Returns what was heard of other daemons' counts, from a window on, of lives
    /// last heard before `before_ms`.
    pub fn received(&self, from_window: u64, before_ms: u64) -> Vec<ReceivedUsage> {
        let mut received = Vec::new();
        for ((name, incarnation), windows) in &self.others {
            let last_seen_ms = self.last_seen_ms.get(&(name.clone(), *incarnation));
            if last_seen_ms.is_some_and(|at_ms| *at_ms >= before_ms) {
                continue;
            }
            let late = windows.range(from_window..);
            let late: Vec<_> = late.map(|(w, counts)| (*w, counts.clone())).collect();
            if !late.is_empty() {
                received.push(ReceivedUsage {
                    name: name.clone(),
                    incarnation: *incarnation,
                    windows: late,
                });
            }
        }
        received
    }

    /// Takes in what one life of another daemon has counted.
    pub fn merge(&mut self, node: &str, incarnation: u64, counts: &[(u64, AccountCounts)]) {
        let known = self
            .others
            .entry((node.to_string(), incarnation))
            .or_default();
        for (window, theirs) in counts {
            let mine = known.entry(*window).or_default();
            for (terms, count) in theirs {
                let most = mine.entry(terms.clone()).or_default();
                *most = (*most).max(*count);
            }
        }
        trim(known);
    }

    /// Notes before which window a daemon has told all that it counted.
    pub fn record_complete(&mut self, node: &str, complete_before: u64, now_ms: u64) {
        let announcer = self.announcers.entry(node.to_string()).or_default();
        *announcer = (complete_before.max(announcer.0), now_ms);
    }

    /// Returns how many daemons told counts since a time, and whether all of
    /// them have told the whole of a window.
    pub fn usage_complete_from(&self, window: u64, since_ms: u64) -> (usize, bool) {
        let late = self
            .announcers
            .values()
            .filter(|(_, at_ms)| *at_ms >= since_ms);
        let told: Vec<bool> = late.map(|(before, _)| *before > window).collect();
        (told.len(), told.iter().all(|whole| *whole))
    }

    /// Returns the counts of a window over all daemons.
    pub fn total(&self, window: u64) -> AccountCounts {
        let mut total = AccountCounts::new();
        let others = self.others.values().filter_map(|w| w.get(&window));
        for counts in self.own.get(&window).into_iter().chain(others) {
            for (terms, count) in counts {
                *total.entry(terms.clone()).or_default() += count;
            }
        }
        total
    }
}

fn trim(counts: &mut BTreeMap<u64, AccountCounts>) {
    while counts.len() > KEPT_WINDOWS {
        counts.pop_first();
    }
}
