use {
    super::{PartCrash, PartHolds, WholeAnswers},
    crate::names::PartFingerprint,
    std::collections::{HashMap, VecDeque},
};

/// Crashes within this time count as one, in milliseconds: upstreams that are lost together.
const SIMULTANEOUS_MS: u64 = 300;
/// How many more crashes hold back a part if another part was present at all of its crashes and may as
/// well be the cause. The deeper one is held back first, which explains the other one's crashes.
const EXTRA_SHARED_CRASHES: usize = 2;

/// Whole answers that are assumed beside those counted, so that a few outcomes show little.
const ASSUMED_WHOLE: u32 = 4;
/// Probability of the coincidence that all requests with a sound part were cut off, below which the part
/// counts as the cause.
const MAX_COINCIDENCE: f64 = 1e-3;
/// Upper bound of the crashes that it takes. A sound part that is held back after so many is released by the
/// first of its running requests that is answered, while a bad one goes on to crash upstreams.
const MAX_PRESENT: usize = 10;

/// The crashes from which causes are found.
pub(super) struct CauseRules<'a> {
    /// Number of crashes, apart from each other, that a part has to have been present at.
    pub min_crashes: usize,
    /// The answers that were whole.
    pub whole_answers: &'a WholeAnswers,
    /// A part without a crash since then is no longer a cause, in milliseconds.
    pub since_ms: u64,
    /// Crashes after this time don't count yet, in milliseconds: the answers that clear parts of them are
    /// still to come.
    pub until_ms: u64,
}

/// Returns a part that causes crashes and is not in `held` yet, if there is one.
///
/// A crash counts for the part that was present at the most crashes of all that were present there: of the parts
/// that always come with the cause, some answers were whole or went on for long, which cleared them of
/// some crashes. A crash at which a part in `held` was present is explained, and counts for no other part.
pub(super) fn next_cause(
    crashes: &VecDeque<PartCrash>,
    held: &PartHolds,
    rules: &CauseRules<'_>,
) -> Option<PartFingerprint> {
    let settled = crashes.iter().filter(|crash| crash.at_ms <= rules.until_ms);
    let unexplained: Vec<&PartCrash> = settled.filter(|crash| !held.explain(crash)).collect();
    let counts = count_open(&unexplained);
    let candidates = counts
        .iter()
        .filter(|(_, count)| **count >= rules.min_crashes);
    let mut candidates: Vec<(usize, u8, PartFingerprint)> = candidates
        .map(|(part, count)| (*count, depth_of(*part, &unexplained), *part))
        .collect();
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    let parts = candidates.into_iter().map(|(.., part)| part);
    let mut causes = parts.filter(|part| {
        let recent = |crash: &&PartCrash| crash.at_ms >= rules.since_ms && crash.is_open(*part);
        unexplained.iter().copied().any(|crash| recent(&crash))
            && is_cause(*part, &unexplained, &counts, rules)
    });
    causes.next()
}

/// Returns a part that another daemon holds back and that is not in `held` yet, if there is one.
pub(super) fn next_held_elsewhere(
    crashes: &VecDeque<PartCrash>,
    held: &PartHolds,
    since_ms: u64,
) -> Option<PartFingerprint> {
    let recent = crashes.iter().filter(|crash| crash.at_ms >= since_ms);
    let unexplained = recent.filter(|crash| !held.explain(crash));
    let mut parts = unexplained.flat_map(|crash| crash.parts.iter());
    let held_elsewhere = parts.find(|(part, presence)| {
        presence.is_held_elsewhere && !presence.is_cleared && !held.contains(**part)
    });
    held_elsewhere.map(|(part, _)| *part)
}

/// Returns how deep in its prompts a part was. Of parts that always come together the deepest is the
/// most specific one.
fn depth_of(part: PartFingerprint, crashes: &[&PartCrash]) -> u8 {
    let present = crashes.iter().filter_map(|crash| crash.parts.get(&part));
    present.map(|presence| presence.depth).max().unwrap_or(0)
}

/// Returns at how many crashes each part was present and was not cleared.
fn count_open(crashes: &[&PartCrash]) -> HashMap<PartFingerprint, usize> {
    let mut counts = HashMap::new();
    for part in crashes.iter().flat_map(|crash| crash.open_parts()) {
        *counts.entry(part).or_default() += 1;
    }
    counts
}

fn is_cause(
    part: PartFingerprint,
    crashes: &[&PartCrash],
    counts: &HashMap<PartFingerprint, usize>,
    rules: &CauseRules<'_>,
) -> bool {
    let count = counts[&part];
    let most_of_others = |crash: &PartCrash| {
        let others = crash.open_parts().filter(|other| *other != part);
        others.map(|other| counts[&other]).max().unwrap_or(0)
    };
    let present = || crashes.iter().filter(|crash| crash.is_open(part));
    let is_enough = |times_ms: Vec<u64>, extra: usize| {
        let first_ms = times_ms.first().copied().unwrap_or(0);
        times_ms.len() >= min_present(crashes, first_ms, rules) + extra
            && count_apart(&times_ms) >= rules.min_crashes + extra
    };
    let own = present().filter(|crash| most_of_others(crash) < count);
    let shared = present().filter(|crash| most_of_others(crash) <= count);
    is_enough(times_of(own), 0) || is_enough(times_of(shared), EXTRA_SHARED_CRASHES)
}

/// Returns at how many crashes a part has to have been present, the first of them at `since_ms`, so that
/// this is no coincidence: while many requests are cut off, a sound part is at many crashes before one of
/// its requests is answered.
fn min_present(crashes: &[&PartCrash], since_ms: u64, rules: &CauseRules<'_>) -> usize {
    let since = crashes.iter().filter(|crash| crash.at_ms >= since_ms);
    let cut_off: u32 = since.map(|crash| crash.cut_off).sum();
    let whole = ASSUMED_WHOLE + rules.whole_answers.count_since(since_ms);
    let share = f64::from(cut_off) / f64::from(cut_off + whole);
    if share <= 0.0 {
        return 0;
    }
    let present = (MAX_COINCIDENCE.ln() / share.ln()).ceil();
    (present as usize).min(MAX_PRESENT)
}

/// Returns the times of crashes in ascending order, in milliseconds.
pub(super) fn times_of<'a>(crashes: impl Iterator<Item = &'a &'a PartCrash>) -> Vec<u64> {
    let mut times_ms: Vec<u64> = crashes.map(|crash| crash.at_ms).collect();
    times_ms.sort_unstable();
    times_ms
}

/// Counts times in ascending order, those that are close together once.
pub(super) fn count_apart(times_ms: &[u64]) -> usize {
    let (mut count, mut last_ms) = (0, 0);
    for at_ms in times_ms.iter().copied() {
        if count == 0 || at_ms >= last_ms + SIMULTANEOUS_MS {
            count += 1;
            last_ms = at_ms;
        }
    }
    count
}
