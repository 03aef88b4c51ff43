use {
    crate::rollouts::VersionCounts,
    bincode::{Decode, Encode},
    std::collections::HashMap,
};

/// The answers that a daemon has counted since the order of a rollout, by route, as it announces them
/// to the leader. Each announcement holds the totals, so that a lost one does no harm.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct VersionsPart {
    /// The daemon's name.
    pub name: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// The service that is rolled out.
    pub service: String,
    /// The rollout order since which answers are counted, by its offset in its source.
    pub order: u64,
    /// The total counts, by route.
    pub counts: Vec<(u32, VersionCounts)>,
}

/// The newest totals of one daemon for one service.
#[derive(Debug, Default)]
struct DaemonCounts {
    incarnation: u64,
    order: u64,
    counts: HashMap<u32, VersionCounts>,
}

/// Answer counts received during rollouts, by service.
#[derive(Debug, Default)]
pub struct VersionCountTable {
    /// The newest totals, by service and daemon.
    received: HashMap<(String, String), DaemonCounts>,
    /// The counts that arrived since they were last taken, by service and order, and then by route.
    fresh: HashMap<(String, u64), HashMap<u32, VersionCounts>>,
}

impl VersionCountTable {
    /// Applies the counts that a daemon announced: adds the difference to its previous totals.
    pub fn apply(&mut self, part: VersionsPart) {
        let key = (part.service.clone(), part.name);
        let known = self.received.entry(key).or_default();
        if known.incarnation != part.incarnation || known.order != part.order {
            *known = DaemonCounts {
                incarnation: part.incarnation,
                order: part.order,
                counts: HashMap::new(),
            };
        }
        let fresh = self.fresh.entry((part.service, part.order)).or_default();
        for (route, counts) in part.counts {
            let before = known.counts.insert(route, counts).unwrap_or_default();
            fresh.entry(route).or_default().add(counts.since(before));
        }
    }

    /// Removes and returns the counts of an order that arrived since the last call.
    pub fn take(&mut self, service: &str, order: u64) -> Vec<(u32, VersionCounts)> {
        let fresh = self.fresh.remove(&(service.to_string(), order));
        let mut fresh: Vec<_> = fresh.unwrap_or_default().into_iter().collect();
        fresh.sort_by_key(|(route, _)| *route);
        fresh
    }

    /// Removes the counts of rollouts for which `is_open` is false.
    pub fn retain(&mut self, is_open: impl Fn(&str, u64) -> bool) {
        self.received
            .retain(|(service, _), known| is_open(service, known.order));
        self.fresh
            .retain(|(service, order), _| is_open(service, *order));
    }
}
