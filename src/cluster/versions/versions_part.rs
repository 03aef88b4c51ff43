use {
    crate::rollouts::VersionCounts,
    bincode::{Decode, Encode},
    std::collections::HashMap,
};

/// What a daemon tells the leader of a roll-out: the answers that it saw since the order,
/// by route. Each telling holds all of them, so that a lost one does no harm.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct VersionsPart {
    /// The daemon's name.
    pub name: String,
    /// Which life of it.
    pub incarnation: u64,
    /// The service.
    pub service: String,
    /// The order that they are counted from.
    pub order: u64,
    /// The counts, by route.
    pub counts: Vec<(u32, VersionCounts)>,
}

#[derive(Debug, Default)]
struct Heard {
    incarnation: u64,
    order: u64,
    counts: HashMap<u32, VersionCounts>,
}

/// Answer counts received during rollouts, by service.
#[derive(Debug, Default)]
pub struct VersionCountTable {
    heard: HashMap<(String, String), Heard>,
    /// What was heard since it was taken last, by service and order.
    fresh: HashMap<(String, u64), HashMap<u32, VersionCounts>>,
}

impl VersionCountTable {
    /// Takes in what a daemon told.
    pub fn apply(&mut self, part: VersionsPart) {
        let key = (part.service.clone(), part.name);
        let heard = self.heard.entry(key).or_default();
        if heard.incarnation != part.incarnation || heard.order != part.order {
            *heard = Heard {
                incarnation: part.incarnation,
                order: part.order,
                counts: HashMap::new(),
            };
        }
        let fresh = self.fresh.entry((part.service, part.order)).or_default();
        for (route, counts) in part.counts {
            let before = heard.counts.insert(route, counts).unwrap_or_default();
            fresh.entry(route).or_default().add(counts.since(before));
        }
    }

    /// Returns what was heard of an order since this was last called.
    pub fn take(&mut self, service: &str, order: u64) -> Vec<(u32, VersionCounts)> {
        let fresh = self.fresh.remove(&(service.to_string(), order));
        let mut fresh: Vec<_> = fresh.unwrap_or_default().into_iter().collect();
        fresh.sort_by_key(|(route, _)| *route);
        fresh
    }

    /// Forgets what was heard of roll-outs that `is_open` doesn't name.
    pub fn retain(&mut self, is_open: impl Fn(&str, u64) -> bool) {
        self.heard
            .retain(|(service, _), heard| is_open(service, heard.order));
        self.fresh
            .retain(|(service, order), _| is_open(service, *order));
    }
}
