use {
    super::{
        PartCrash,
        part_causes::{count_apart, times_of},
    },
    crate::names::PartFingerprint,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Minimum time after a part was held back until it is checked whether upstreams go on to crash without
/// it, in milliseconds. By then requests with it that were running have ended, and other causes are found.
const MIN_CHECK_MS: u64 = 2_000;
/// Maximum time that this check takes, in milliseconds.
const MAX_CHECK_MS: u64 = 10_000;
/// Number of unexplained crashes in that time below which a part remains held back: some crashes come by
/// chance.
const MIN_REFUTING_CRASHES: usize = 8;

/// The parts that are held back.
#[derive(Debug, Default)]
pub(super) struct PartHolds {
    /// The parts, with the times since when they are held back, in milliseconds.
    since_ms: BTreeMap<PartFingerprint, u64>,
}

impl PartHolds {
    /// Returns whether no part is held back.
    pub fn is_empty(&self) -> bool {
        self.since_ms.is_empty()
    }

    /// Returns whether a part is held back.
    pub fn contains(&self, part: PartFingerprint) -> bool {
        self.since_ms.contains_key(&part)
    }

    /// Returns the parts that are held back.
    pub fn parts(&self) -> impl Iterator<Item = PartFingerprint> {
        self.since_ms.keys().copied()
    }

    /// Holds a part back from now on.
    pub fn hold(&mut self, part: PartFingerprint, now_ms: u64) {
        self.since_ms.entry(part).or_insert(now_ms);
    }

    /// No longer holds a part back.
    pub fn release(&mut self, part: PartFingerprint) {
        self.since_ms.remove(&part);
    }

    /// Returns whether a part that is held back was present at a crash and may have caused it.
    pub fn explain(&self, crash: &PartCrash) -> bool {
        self.since_ms.keys().any(|part| crash.is_open(*part))
    }

    /// Returns the parts whose crashes other held parts explain, which were present at more of them.
    pub fn explained(
        &self,
        crashes: &VecDeque<PartCrash>,
        min_crashes: usize,
    ) -> Vec<PartFingerprint> {
        let present = |part| crashes.iter().filter(move |crash| crash.is_open(part));
        let rank = |part| {
            let depth = present(part).map(|crash| crash.parts[&part].depth).max();
            (present(part).count(), depth)
        };
        let is_explained = |part: &PartFingerprint| {
            let stronger: BTreeSet<PartFingerprint> = self
                .parts()
                .filter(|other| rank(*other) > rank(*part))
                .collect();
            let unexplained: Vec<&PartCrash> = present(*part)
                .filter(|crash| !stronger.iter().any(|other| crash.is_open(*other)))
                .collect();
            unexplained.len() < present(*part).count()
                && count_apart(&times_of(unexplained.iter())) < min_crashes
        };
        self.parts().filter(is_explained).collect()
    }

    /// Returns the parts without which upstreams have gone on to crash half as often as before or more, so that they
    /// were present at the earlier crashes by coincidence.
    pub fn refuted(&self, crashes: &VecDeque<PartCrash>, now_ms: u64) -> Vec<PartFingerprint> {
        let is_refuted = |(part, since_ms): (&PartFingerprint, &u64)| {
            let before = crashes.iter().filter(|crash| crash.is_open(*part));
            let before_ms = times_of(before.collect::<Vec<_>>().iter());
            let span_ms = since_ms.saturating_sub(*before_ms.first()?);
            let check_ms = span_ms.clamp(MIN_CHECK_MS, MAX_CHECK_MS);
            let after = *since_ms..since_ms + check_ms;
            let later = crashes.iter().filter(|c| after.contains(&c.at_ms));
            let unexplained = later.filter(|crash| !self.explain(crash)).count();
            let is_over = now_ms >= after.end && now_ms < after.end + MIN_CHECK_MS;
            let needed = (before_ms.len() / 2).max(MIN_REFUTING_CRASHES);
            (is_over && unexplained >= needed).then_some(*part)
        };
        self.since_ms.iter().filter_map(is_refuted).collect()
    }
}
