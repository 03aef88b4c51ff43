use {
    super::{
        part_causes::{CauseRules, next_cause, next_held_elsewhere},
        *,
    },
    crate::names::{PartFingerprint, UpstreamId},
    std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
};

/// Time after a crash until it counts, in milliseconds. By then the answers that clear parts of it are
/// announced, and a part of many sound requests has had some.
const SETTLE_MS: u64 = 600;
/// How many times a part at a crash is announced, since datagrams may be lost.
const ANNOUNCEMENTS: u8 = 4;
/// Upper bound of the crashes kept, to limit memory. The oldest one is dropped.
const MAX_CRASHES: usize = 128;
/// Survivals of a part within this time are announced once, in milliseconds.
const MIN_SURVIVAL_GAP_MS: u64 = 100;
/// Upper bound of the survivals kept, to limit memory. The oldest one is dropped.
const MAX_SURVIVALS: usize = 512;

/// The stored record of a part during which upstreams crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRecord {
    /// The part.
    pub part: PartFingerprint,
    /// The crashes that the part may have caused; empty if it is cleared.
    pub crashes: Vec<KnownPartCrash>,
}

/// What a stored record says of a part.
#[derive(Clone, Copy, Debug, Default)]
struct WrittenPart {
    /// Number of its crashes.
    crashes: usize,
    /// The part is held back.
    is_held: bool,
}

/// What is to be announced of parts at crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartNotices {
    /// Parts at crashes that they may have caused.
    pub crashes: Vec<KnownPartCrash>,
    /// Answers that clear parts of crashes.
    pub survivals: Vec<KnownSurvival>,
}

/// What is to be announced of parts at crashes next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartCrashesToAnnounce {
    /// What to announce to the hubs of all failure domains, or, if this daemon is not a hub, to the hubs
    /// of its own failure domain.
    pub hubs: PartNotices,
    /// What to announce to the daemons that report to this hub.
    pub members: PartNotices,
}

/// A part of a prompt that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartHold {
    /// The part.
    pub part: PartFingerprint,
    /// How long it is still held back, in milliseconds.
    pub left_ms: u64,
}

/// A change of what is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// The part is held back from now on.
    Held {
        /// The part.
        part: PartFingerprint,
        /// Number of crashes at which it was present and was not cleared.
        crashes: usize,
    },
    /// The part is no longer held back.
    Released {
        /// The part.
        part: PartFingerprint,
    },
}

/// The parts of prompts during which upstreams crashed, as this daemon observed and other daemons
/// announced.
///
/// A part that crashes every upstream that begins to answer a prompt with it comes in requests of
/// which no two are alike, so no request is present at several crashes. The part is, together with
/// parts that sound requests hold as well. Answers tell them apart: a prompt with the cause is never
/// answered, and never for longer than until the crash. So a whole answer clears all parts of its
/// prompt of the crashes so far, and one that has gone on for long clears them of those crashes at which
/// requests with the part had been answered for a shorter time. A part is held back once it was present
/// at enough crashes without being cleared, and at more than the other parts that were present there.
/// The more requests are cut off, the more crashes it takes.
///
/// This answers the load of crashing requests. Where upstreams crash for other reasons, the parts of
/// sound requests are cleared by their answers.
///
/// A part is held back from the client accounts that were present at its crashes, and from all accounts
/// once there were two: a single account does not hold back what others send.
///
/// Announcements of other daemons may be applied in any order, and more than once.
#[derive(Debug)]
pub struct PartCrashTable {
    bounds: QuarantineBounds,
    crashes: VecDeque<PartCrash>,
    held: PartHolds,
    /// For parts that were cleared of crashes, the last answer that did so: a whole one (`true`), and one
    /// that went on (`false`).
    survivals: BTreeMap<(PartFingerprint, bool), Survival>,
    /// The answers that were whole.
    whole_answers: WholeAnswers,
    /// What was last written of a part to the store.
    written: BTreeMap<PartFingerprint, WrittenPart>,
    /// Number of entries that were dropped because there were too many.
    dropped: u64,
    /// When something last changed that matters to which parts are causes, in milliseconds; none if the
    /// causes have been looked for since that settled.
    changed_ms: Option<u64>,
}

impl PartCrashTable {
    /// Makes an empty table.
    pub fn new(bounds: QuarantineBounds) -> Self {
        Self {
            bounds,
            crashes: VecDeque::new(),
            held: PartHolds::default(),
            survivals: BTreeMap::new(),
            whole_answers: WholeAnswers::default(),
            written: BTreeMap::new(),
            dropped: 0,
            changed_ms: None,
        }
    }

    /// Returns whether no recent crash is known. Then prompts need no fingerprints.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the number of crashes kept.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of entries dropped since the last call because there were too many.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Records how many requests whose prompts have shared parts a crash cut off, as this daemon
    /// observed.
    pub fn record_cut_off(&mut self, requests: u32, upstream: &UpstreamId, at_ms: u64) {
        self.crash(upstream, at_ms).cut_off += requests;
    }

    /// Records a part at a crash that this daemon observed: `upstream` crashed at `at_ms`, and had been
    /// answering a request with the part, `depth` parts deep in its prompt, for `answering_ms`.
    pub fn record_crash(
        &mut self,
        part: PartFingerprint,
        depth: u8,
        account: AccountHash,
        upstream: &UpstreamId,
        answering_ms: u64,
        at_ms: u64,
    ) {
        let entry = self.crash(upstream, at_ms).presence(part);
        let Some((presence, is_new)) = entry else {
            self.dropped += 1;
            return;
        };
        presence.merge(answering_ms, depth, [account].into_iter());
        presence.is_own = true;
        if is_new {
            presence.announcements_left = ANNOUNCEMENTS;
            presence.announces_to_hubs = true;
        }
        self.changed_ms = self.changed_ms.max(Some(at_ms));
        self.record_running(&[part], answering_ms, at_ms);
    }

    /// Applies what another daemon announced. `forward_to_hubs` decides to whom this daemon forwards
    /// it: to other hubs and to its members (`Some(true)`), only to its members (`Some(false)`), or to
    /// nobody (`None`).
    pub fn apply(
        &mut self,
        announced: &KnownPartCrash,
        forward_to_hubs: Option<bool>,
        now_ms: u64,
    ) {
        let at_ms = now_ms.saturating_sub(announced.age_ms);
        if now_ms >= at_ms + self.retention_ms() {
            return;
        }
        self.changed_ms = self.changed_ms.max(Some(now_ms));
        let entry = self
            .crash(&announced.upstream, at_ms)
            .presence(announced.part);
        let Some((presence, is_new)) = entry else {
            self.dropped += 1;
            return;
        };
        presence.merge(
            announced.answering_ms,
            announced.depth,
            announced.accounts.iter().copied(),
        );
        presence.is_held_elsewhere |= announced.is_held;
        if !is_new {
            return;
        }
        presence.announcements_left = forward_to_hubs.map_or(0, |_| ANNOUNCEMENTS);
        presence.announces_to_hubs = forward_to_hubs == Some(true);
        let survived_here = Survival {
            answering_ms: Some(announced.answering_ms),
            at_ms,
            announcements_left: 0,
            announces_to_hubs: false,
            is_announced: true,
        };
        self.clear(announced.part, survived_here);
        self.clear_by_known_survivals(announced.part);
    }

    /// Clears a part by the answers that came before a crash was announced. Those of this daemon have not
    /// been announced if they cleared nothing until now.
    fn clear_by_known_survivals(&mut self, part: PartFingerprint) {
        for is_whole in [true, false] {
            let Some(survival) = self.survivals.get(&(part, is_whole)).copied() else {
                continue;
            };
            if self.clear(part, survival)
                && !survival.is_announced
                && let Some(known) = self.survivals.get_mut(&(part, is_whole))
            {
                known.announce(ANNOUNCEMENTS);
            }
        }
    }

    /// Applies an answer of which another daemon announced that it cleared a part. `forward_to_hubs` is
    /// as in [`Self::apply`].
    pub fn apply_survival(
        &mut self,
        announced: &KnownSurvival,
        forward_to_hubs: Option<bool>,
        now_ms: u64,
    ) {
        let survival = Survival {
            answering_ms: announced.answering_ms,
            at_ms: now_ms.saturating_sub(announced.age_ms),
            announcements_left: forward_to_hubs.map_or(0, |_| ANNOUNCEMENTS),
            announces_to_hubs: forward_to_hubs == Some(true),
            is_announced: true,
        };
        self.clear(announced.part, survival);
        // Crashes that it clears may be known to those to whom this daemon forwards it.
        self.keep_survival(announced.part, survival);
    }

    /// Records that a prompt with these parts was answered completely, which clears them. Returns those that
    /// crashes were held against.
    pub fn record_complete(
        &mut self,
        parts: &[PartFingerprint],
        now_ms: u64,
    ) -> Vec<PartFingerprint> {
        if !parts.is_empty() {
            self.whole_answers.record(now_ms);
        }
        self.record_survival(parts, None, now_ms)
    }

    /// Records that a prompt with these parts has been answered for a time, in milliseconds.
    pub fn record_running(&mut self, parts: &[PartFingerprint], answering_ms: u64, now_ms: u64) {
        self.record_survival(parts, Some(answering_ms), now_ms);
    }

    fn record_survival(
        &mut self,
        parts: &[PartFingerprint],
        answering_ms: Option<u64>,
        at_ms: u64,
    ) -> Vec<PartFingerprint> {
        let mut cleared = Vec::new();
        for part in parts {
            let mut survival = Survival {
                answering_ms,
                at_ms,
                announcements_left: 0,
                announces_to_hubs: true,
                is_announced: false,
            };
            if self.clear(*part, survival) {
                survival.announce(ANNOUNCEMENTS);
                cleared.push(*part);
            }
            if self.is_known(*part) {
                self.keep_survival(*part, survival);
            }
        }
        cleared
    }

    /// Clears a part of the crashes that it did not cause, as a survival shows. Returns whether there are
    /// any.
    fn clear(&mut self, part: PartFingerprint, survival: Survival) -> bool {
        let mut is_change = false;
        for crash in &mut self.crashes {
            let at_ms = crash.at_ms;
            let open = crash.parts.get_mut(&part).filter(|p| !p.is_cleared);
            let Some(presence) = open.filter(|p| survival.clears(at_ms, p.answering_ms)) else {
                continue;
            };
            presence.is_cleared = true;
            is_change = true;
        }
        if is_change {
            self.changed_ms = self.changed_ms.max(Some(survival.at_ms));
        }
        is_change
    }

    /// Keeps a survival to announce it, and for crashes that are announced later. One that is hardly
    /// newer than the known one is an announcement of the same.
    fn keep_survival(&mut self, part: PartFingerprint, survival: Survival) {
        let key = (part, survival.answering_ms.is_none());
        let known = self.survivals.get(&key);
        let is_repetition = |known: &Survival| {
            let is_as_known = known.is_announced || !survival.is_announced;
            is_as_known && survival.at_ms < known.at_ms + MIN_SURVIVAL_GAP_MS
        };
        if known.is_some_and(is_repetition) {
            return;
        }
        self.survivals.insert(key, survival);
        if self.survivals.len() > MAX_SURVIVALS {
            let oldest = self.survivals.iter().min_by_key(|(_, s)| s.at_ms);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.survivals.remove(&key));
        }
    }

    /// Returns the part because of which a request of an account is held back, if there is one.
    pub fn held_for(
        &self,
        parts: &[PartFingerprint],
        account: AccountHash,
        now_ms: u64,
    ) -> Option<PartHold> {
        let mut held = parts.iter().filter(|part| self.held.contains(**part));
        held.find_map(|part| {
            let until_ms = self.last_ms(*part)? + self.bounds.hold_ms();
            let is_held = now_ms < until_ms && self.concerns(*part, account);
            is_held.then(|| PartHold {
                part: *part,
                left_ms: until_ms - now_ms,
            })
        })
    }

    /// Returns the parts that are held back.
    pub fn held(&self) -> impl Iterator<Item = PartFingerprint> {
        self.held.parts()
    }

    /// Returns whether a part that is held back explains a crash, so that it was no other request's
    /// doing.
    pub fn explains(&self, upstream: &UpstreamId, at_ms: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.is_same(upstream, at_ms) && self.held.explain(crash))
    }

    /// Returns whether one of these parts was present at a crash that is kept.
    pub fn is_any_known(&self, parts: &[PartFingerprint]) -> bool {
        parts.iter().any(|part| self.is_known(*part))
    }

    /// Returns whether a crash of an upstream is known at about a time.
    pub fn has_crash(&self, upstream: &UpstreamId, at_ms: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.is_same(upstream, at_ms))
    }

    /// Returns the crashes that a part explains: upstreams and times.
    pub fn crashes_of(&self, part: PartFingerprint) -> impl Iterator<Item = (&UpstreamId, u64)> {
        let crashes = self.crashes.iter().filter(move |crash| crash.is_open(part));
        crashes.map(|crash| (&crash.upstream, crash.at_ms))
    }

    /// Looks for parts that cause crashes if anything changed, and returns what is held back or
    /// released by that.
    pub fn judge(&mut self, now_ms: u64) -> Vec<PartVerdict> {
        let Some(changed_ms) = self.changed_ms else {
            return Vec::new();
        };
        if now_ms > changed_ms + SETTLE_MS {
            self.changed_ms = None;
        }
        let mut verdicts = self.release(now_ms);
        let rules = CauseRules {
            min_crashes: self.bounds.part_ends,
            whole_answers: &self.whole_answers,
            since_ms: now_ms.saturating_sub(self.bounds.hold_ms()),
            until_ms: now_ms.saturating_sub(SETTLE_MS),
        };
        let next = |held: &PartHolds| {
            let elsewhere = next_held_elsewhere(&self.crashes, held, rules.since_ms);
            elsewhere.or_else(|| next_cause(&self.crashes, held, &rules))
        };
        while let Some(part) = next(&self.held) {
            self.held.hold(part, now_ms);
            let crashes = self.crashes_of(part).count();
            verdicts.push(PartVerdict::Held { part, crashes });
        }
        for verdict in &verdicts {
            if let PartVerdict::Held { part, .. } = verdict {
                self.announce_last_crash(*part);
            }
        }
        for part in self.held.explained(&self.crashes, self.bounds.part_ends) {
            self.held.release(part);
            verdicts.push(PartVerdict::Released { part });
        }
        verdicts
    }

    /// Announces the last crash of a part again, now that it is held back.
    fn announce_last_crash(&mut self, part: PartFingerprint) {
        let present = self.crashes.iter_mut().filter(|crash| crash.is_open(part));
        let last = present.max_by_key(|crash| crash.at_ms);
        if let Some(presence) = last.and_then(|crash| crash.parts.get_mut(&part)) {
            presence.announcements_left = ANNOUNCEMENTS;
            presence.announces_to_hubs = true;
        }
    }

    /// Releases the parts that were cleared of all their crashes, or whose time is over, or without which
    /// upstreams have gone on to crash.
    fn release(&mut self, now_ms: u64) -> Vec<PartVerdict> {
        for part in self.held.refuted(&self.crashes, now_ms) {
            self.record_complete(&[part], now_ms);
        }
        let is_over = |part: &PartFingerprint| {
            let last_ms = self.last_ms(*part);
            last_ms.is_none_or(|last_ms| now_ms >= last_ms + self.bounds.hold_ms())
        };
        let released: Vec<PartFingerprint> = self.held.parts().filter(is_over).collect();
        for part in &released {
            self.held.release(*part);
        }
        let verdicts = released.into_iter();
        verdicts
            .map(|part| PartVerdict::Released { part })
            .collect()
    }

    /// Returns what to announce next, at most `max_count` parts at crashes and as many survivals.
    pub fn to_announce(&mut self, max_count: usize, now_ms: u64) -> PartCrashesToAnnounce {
        let mut chosen = PartCrashesToAnnounce::default();
        self.take_crashes(&mut chosen, max_count, now_ms);
        self.take_survivals(&mut chosen, max_count, now_ms);
        chosen
    }

    /// Takes the parts at crashes to announce next, those of the parts with the most crashes first.
    /// Cleared ones show nothing any more.
    fn take_crashes(&mut self, chosen: &mut PartCrashesToAnnounce, max_count: usize, now_ms: u64) {
        let counts = self.counts();
        let mut due: Vec<(usize, u64, usize, PartFingerprint)> = Vec::new();
        for (n, crash) in self.crashes.iter().enumerate() {
            let open = crash.parts.iter().filter(|(_, p)| !p.is_cleared);
            let unannounced = open.filter(|(_, p)| p.announcements_left > 0);
            due.extend(unannounced.map(|(part, _)| {
                let count = counts.get(part).copied().unwrap_or(0);
                (count, crash.at_ms, n, *part)
            }));
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        for (.., n, part) in due.into_iter().take(max_count) {
            let crash = &mut self.crashes[n];
            let Some(presence) = crash.parts.get_mut(&part) else {
                continue;
            };
            presence.announcements_left -= 1;
            let announces_to_hubs = presence.announces_to_hubs;
            let known = crash.known(part, self.held.contains(part), now_ms);
            if announces_to_hubs {
                chosen.hubs.crashes.extend(known.clone());
            }
            chosen.members.crashes.extend(known);
        }
    }

    /// Takes the survivals to announce next, the latest first.
    fn take_survivals(
        &mut self,
        chosen: &mut PartCrashesToAnnounce,
        max_count: usize,
        now_ms: u64,
    ) {
        let due = self
            .survivals
            .iter_mut()
            .filter(|(_, s)| s.announcements_left > 0);
        let mut due: Vec<_> = due.collect();
        due.sort_unstable_by_key(|(key, s)| std::cmp::Reverse((s.at_ms, **key)));
        for ((part, _), survival) in due.into_iter().take(max_count) {
            survival.announcements_left -= 1;
            let known = KnownSurvival {
                part: *part,
                answering_ms: survival.answering_ms,
                age_ms: now_ms.saturating_sub(survival.at_ms),
            };
            if survival.announces_to_hubs {
                chosen.hubs.survivals.push(known);
            }
            chosen.members.survivals.push(known);
        }
    }

    /// Returns the crashes of the parts that are held back, at most `max_count` of them, the latest
    /// first. It includes those that were announced before.
    pub fn held_crashes(&self, max_count: usize, now_ms: u64) -> Vec<KnownPartCrash> {
        let latest_first = self.crashes.iter().rev();
        let held = latest_first.flat_map(|crash| {
            let parts = crash.open_parts().filter(|part| self.held.contains(*part));
            parts.filter_map(|part| crash.known(part, true, now_ms))
        });
        held.take(max_count).collect()
    }

    /// Returns a record that this daemon has to write to the store: that of a part that was present at
    /// a crash which this daemon observed and has more crashes than were last written, or that of a part
    /// that was written and has been cleared since. Parts with the most crashes come first.
    ///
    /// Parts with half the crashes that hold a part back are written as well, since daemons of failure
    /// domains that can reach the store but not each other would each allow all of them.
    pub fn to_write(&self, now_ms: u64) -> Option<PartRecord> {
        let cleared = self.written.iter().find(|(part, written)| {
            written.crashes > 0 && !self.crashes.iter().any(|crash| crash.is_open(**part))
        });
        if let Some((part, _)) = cleared {
            return Some(PartRecord {
                part: *part,
                crashes: Vec::new(),
            });
        }
        let min_crashes = self.bounds.part_ends.div_ceil(2);
        let counts = self.counts().into_iter().filter(|(part, count)| {
            let written = self.written.get(part).copied().unwrap_or_default();
            let is_held = self.held.contains(*part);
            let is_change = *count > written.crashes || is_held && !written.is_held;
            *count >= min_crashes && is_change && self.is_own(*part)
        });
        let (part, _) = counts.max_by_key(|(part, count)| (*count, *part))?;
        let is_held = self.held.contains(part);
        let crashes = self.crashes.iter().filter(|crash| crash.is_open(part));
        let known = crashes.filter_map(|crash| crash.known(part, is_held, now_ms));
        Some(PartRecord {
            part,
            crashes: known.collect(),
        })
    }

    /// Records that a record was written to the store.
    pub fn record_written(&mut self, record: &PartRecord) {
        let written = WrittenPart {
            crashes: record.crashes.len(),
            is_held: record.crashes.iter().any(|crash| crash.is_held),
        };
        match written.crashes {
            0 => self.written.remove(&record.part),
            _ => self.written.insert(record.part, written),
        };
    }

    /// Records that the store may have lost what this daemon wrote.
    pub fn forget_written(&mut self) {
        self.written.clear();
    }

    /// Clears a part whose stored record is empty, without announcing it.
    pub fn apply_cleared(&mut self, part: PartFingerprint) {
        for crash in &mut self.crashes {
            if let Some(presence) = crash.parts.get_mut(&part) {
                presence.is_cleared = true;
                self.changed_ms = self.changed_ms.max(Some(crash.at_ms));
            }
        }
        self.written.remove(&part);
    }

    /// Returns whether all crashes of a stored record are older than the retention time.
    pub fn is_outdated(&self, record: &PartRecord) -> bool {
        let mut crashes = record.crashes.iter();
        crashes.all(|crash| crash.age_ms >= self.retention_ms())
    }

    /// Removes crashes that are older than the retention time.
    pub fn tick(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms();
        self.crashes
            .retain(|crash| now_ms < crash.at_ms + retention_ms);
        self.survivals
            .retain(|_, survival| now_ms < survival.at_ms + retention_ms);
        if !self.held.is_empty() {
            self.changed_ms = Some(now_ms);
        }
    }

    /// Returns at how many crashes each part was present and was not cleared.
    fn counts(&self) -> HashMap<PartFingerprint, usize> {
        let mut counts = HashMap::new();
        for part in self.crashes.iter().flat_map(PartCrash::open_parts) {
            *counts.entry(part).or_default() += 1;
        }
        counts
    }

    /// Returns whether a part is held back from an account.
    fn concerns(&self, part: PartFingerprint, account: AccountHash) -> bool {
        let present = self.crashes.iter().filter(|crash| crash.is_open(part));
        let accounts: BTreeSet<AccountHash> = present
            .flat_map(|crash| crash.parts[&part].accounts.iter().copied())
            .collect();
        accounts.len() != 1 || accounts.contains(&account)
    }

    /// Returns whether a part was present at a crash that is kept.
    fn is_known(&self, part: PartFingerprint) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.parts.contains_key(&part))
    }

    /// Returns the time of the last crash that a part may have caused, in milliseconds.
    fn last_ms(&self, part: PartFingerprint) -> Option<u64> {
        self.crashes_of(part).map(|(_, at_ms)| at_ms).max()
    }

    fn is_own(&self, part: PartFingerprint) -> bool {
        let mut open = self.crashes.iter().filter(|crash| crash.is_open(part));
        open.any(|crash| crash.parts[&part].is_own)
    }

    /// Returns how long a crash is kept, in milliseconds: twice the time that a part is held back.
    fn retention_ms(&self) -> u64 {
        2 * self.bounds.hold_ms()
    }

    /// Returns the entry of a crash. If there are too many, a new one replaces the oldest, of those that
    /// show nothing any more, then of those that no held part explains.
    fn crash(&mut self, upstream: &UpstreamId, at_ms: u64) -> &mut PartCrash {
        let known = self.crashes.iter().position(|c| c.is_same(upstream, at_ms));
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.drop_oldest();
            }
            self.crashes.push_back(PartCrash {
                upstream: upstream.clone(),
                at_ms,
                cut_off: 0,
                parts: BTreeMap::new(),
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    fn drop_oldest(&mut self) {
        let rank = |crash: &PartCrash| {
            let may_matter = crash.open_parts().next().is_some();
            (self.held.explain(crash), may_matter, crash.at_ms)
        };
        let oldest = (0..self.crashes.len()).min_by_key(|n| rank(&self.crashes[*n]));
        let dropped = oldest.and_then(|n| self.crashes.remove(n));
        self.dropped += dropped.map_or(0, |crash| crash.parts.len() as u64);
    }
}
