use {
    super::*,
    crate::names::{RequestFingerprint, UpstreamId},
    std::collections::HashMap,
};

/// Failures of one upstream that this daemon observes within this time count as one crash, in
/// milliseconds: the requests that ran on the upstream are cut off one after the other.
const OWN_MERGE_WINDOW_MS: u64 = 1_000;
/// The same for crashes that other daemons announce, in milliseconds. It is longer, because
/// an announced age does not include the time that the message was under way.
const ANNOUNCED_MERGE_WINDOW_MS: u64 = 3_000;
/// How many times a crash is announced that this daemon observed or forwards, since
/// datagrams may be lost. At a loss of one datagram in ten, all four are lost once in 10,000
/// times.
const ANNOUNCEMENTS: u8 = 4;
/// Upper bound of the number of requests kept, to limit memory. The loss of a failure domain
/// cuts off several hundred requests; keeping the latest of these is enough.
const MAX_SUSPECTS: usize = 512;
/// How many more crashes hold back a request if another request ran during all of its
/// crashes and may as well be the cause. That happens to requests that arrive together. In
/// the attempts after that, each is placed separately, so that only the cause crashes its
/// upstream.
const EXTRA_SHARED_CRASHES: usize = 2;

/// A crash of an upstream while it ran a request, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCrash {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Age of the crash, in milliseconds.
    pub age_ms: u64,
    /// How long the request had been on the upstream by then, in milliseconds.
    pub ran_ms: u64,
    /// The request has since been answered completely, so it did not cause the crash.
    pub is_cleared: bool,
}

/// The stored record of a request during which upstreams crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The crashes that the request may have caused; empty if the request is cleared.
    pub ends: Vec<KnownCrash>,
}

/// Crashes to announce next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashesToAnnounce {
    /// Crashes to announce to the hubs of all failure domains, or, if this daemon is not a
    /// hub, to the hubs of its own failure domain.
    pub hubs: Vec<KnownCrash>,
    /// Crashes to announce to the daemons that report to this hub.
    pub members: Vec<KnownCrash>,
}

/// The requests during which upstreams crashed, as this daemon observed and other daemons
/// announced.
///
/// A request that crashes every upstream that starts to run it is sent again by its caller,
/// with another request ID and possibly to another daemon. A single attempt does not
/// distinguish it from the requests that ran on the same upstream, but it is present at
/// each crash and is never answered. So each crash counts for all requests that it cut off.
/// A request is held back once enough crashes are its own: those where no other request was
/// present that has as many crashes. Only successive crashes count: upstreams that are lost
/// at the same time count as one crash. A complete answer clears a request.
///
/// Announcements of other daemons may be applied in any order, and more than once.
#[derive(Debug)]
pub struct CrashTable {
    bounds: QuarantineBounds,
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// Number of requests that were dropped because the table was full.
    dropped: u64,
}

impl CrashTable {
    /// Makes an empty table.
    pub fn new(bounds: QuarantineBounds) -> Self {
        Self {
            bounds,
            suspects: HashMap::new(),
            dropped: 0,
        }
    }

    /// Returns whether no recent crash is known. Then requests need no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests kept.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of requests dropped since the last call because the table was full.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Records a crash that this daemon observed: `upstream` crashed at `at_ms`, and the
    /// request had been on it for `ran_ms`. Returns whether the crash was unknown.
    pub fn record_end(
        &mut self,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamId,
        ran_ms: u64,
        at_ms: u64,
    ) -> bool {
        let suspect = self.suspect(fingerprint);
        let is_same =
            |crash: &&mut UpstreamCrash| crash.is_same(upstream, at_ms, OWN_MERGE_WINDOW_MS);
        if let Some(known) = suspect.crashes.iter_mut().find(is_same) {
            known.is_own = true;
            return false;
        }
        suspect.add(UpstreamCrash {
            upstream: upstream.clone(),
            at_ms,
            ran_ms,
            is_cleared: false,
            is_own: true,
            announcements_left: ANNOUNCEMENTS,
            announces_to_hubs: true,
        });
        true
    }

    /// Applies a crash that another daemon announced. `forward_to_hubs` decides to whom this
    /// daemon forwards it: to other hubs and to its members (`Some(true)`), only to its
    /// members (`Some(false)`), or to nobody (`None`). Returns whether the table changed.
    pub fn apply(
        &mut self,
        announced: &KnownCrash,
        forward_to_hubs: Option<bool>,
        now_ms: u64,
    ) -> bool {
        let at_ms = now_ms.saturating_sub(announced.age_ms);
        if now_ms >= at_ms + self.retention_ms() {
            return false;
        }
        let announcements_left = forward_to_hubs.map_or(0, |_| ANNOUNCEMENTS);
        let announces_to_hubs = forward_to_hubs == Some(true);
        let suspect = self.suspect(announced.fingerprint);
        let is_same = |crash: &&mut UpstreamCrash| {
            crash.is_same(&announced.upstream, at_ms, ANNOUNCED_MERGE_WINDOW_MS)
        };
        if let Some(known) = suspect.crashes.iter_mut().find(is_same) {
            let is_change = announced.is_cleared && !known.is_cleared;
            if is_change {
                known.is_cleared = true;
                known.announcements_left = announcements_left;
                known.announces_to_hubs = announces_to_hubs;
            }
            return is_change;
        }
        suspect.add(UpstreamCrash {
            upstream: announced.upstream.clone(),
            at_ms,
            ran_ms: announced.ran_ms,
            is_cleared: announced.is_cleared,
            is_own: false,
            announcements_left,
            announces_to_hubs,
        });
        true
    }

    /// Records that a request was answered completely, which clears it. Returns whether it
    /// had crashes that were not cleared.
    pub fn record_complete(&mut self, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.clear(ANNOUNCEMENTS))
    }

    /// Returns whether a crash of an upstream is known at about a time.
    pub fn has_crash(&self, upstream: &UpstreamId, at_ms: u64) -> bool {
        let mut crashes = self.suspects.values().flat_map(|s| &s.crashes);
        crashes.any(|crash| crash.is_same(upstream, at_ms, OWN_MERGE_WINDOW_MS))
    }

    /// Clears all requests of a crash that something else explains, without announcing it.
    pub fn excuse(&mut self, upstream: &UpstreamId, at_ms: u64) {
        let crashes = self.suspects.values_mut().flat_map(|s| &mut s.crashes);
        let here = crashes.filter(|c| c.is_same(upstream, at_ms, ANNOUNCED_MERGE_WINDOW_MS));
        here.for_each(|crash| crash.is_cleared = true);
    }

    /// Returns whether a request was present at a crash that is kept.
    pub fn is_known(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns whether a request may have caused more than one crash. A single crash is no
    /// sign, since it affects all requests on the upstream, whatever its cause.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.count() > 1)
    }

    /// Returns how long a request is still held back, in milliseconds, or `None` if it is not
    /// held back.
    pub fn held_for(&self, fingerprint: RequestFingerprint, now_ms: u64) -> Option<u64> {
        let suspect = self.suspects.get(&fingerprint)?;
        let until_ms = suspect.last_ms() + self.bounds.hold_ms();
        let is_held = now_ms < until_ms && self.is_cause(fingerprint, suspect);
        is_held.then(|| until_ms - now_ms)
    }

    /// Returns whether a request is considered the cause of its crashes.
    fn is_cause(&self, fingerprint: RequestFingerprint, suspect: &Suspect) -> bool {
        let count = suspect.count();
        if count < self.bounds.ends {
            return false;
        }
        let others = |crash: &UpstreamCrash| self.max_crashes_of_others_at(crash, fingerprint);
        let own = suspect.open_crashes().filter(|crash| others(crash) < count);
        if count_successive(own) >= self.bounds.ends {
            return true;
        }
        let shared = suspect
            .open_crashes()
            .filter(|crash| others(crash) <= count);
        count_successive(shared) >= self.bounds.ends + EXTRA_SHARED_CRASHES
    }

    /// Returns the highest number of crashes of any other request that was present at a crash.
    fn max_crashes_of_others_at(&self, crash: &UpstreamCrash, but: RequestFingerprint) -> usize {
        let others = self.suspects.iter().filter(|(other, _)| **other != but);
        let there = others.filter(|(_, suspect)| {
            let mut open = suspect.open_crashes();
            open.any(|other| other.is_same(&crash.upstream, crash.at_ms, ANNOUNCED_MERGE_WINDOW_MS))
        });
        there.map(|(_, suspect)| suspect.count()).max().unwrap_or(0)
    }

    /// Returns the requests that are held back.
    pub fn held(&self, now_ms: u64) -> Vec<RequestFingerprint> {
        let all = self.suspects.keys().copied();
        all.filter(|f| self.held_for(*f, now_ms).is_some())
            .collect()
    }

    /// Returns the next crashes to announce, at most `max_count` of them, those of the
    /// requests with the most crashes first.
    pub fn to_announce(&mut self, max_count: usize, now_ms: u64) -> CrashesToAnnounce {
        let mut due: Vec<(usize, u64, RequestFingerprint)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| {
                suspect
                    .crashes
                    .iter()
                    .any(|crash| crash.announcements_left > 0)
            })
            .map(|(fingerprint, suspect)| (suspect.count(), suspect.last_ms(), *fingerprint))
            .collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = CrashesToAnnounce::default();
        for (.., fingerprint) in due {
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
                continue;
            };
            for crash in suspect
                .crashes
                .iter_mut()
                .filter(|crash| crash.announcements_left > 0)
            {
                if chosen.members.len() >= max_count {
                    return chosen;
                }
                crash.announcements_left -= 1;
                let known = known_crash(fingerprint, crash, now_ms);
                if crash.announces_to_hubs {
                    chosen.hubs.push(known.clone());
                }
                chosen.members.push(known);
            }
        }
        chosen
    }

    /// Returns the crashes of requests that are held back, at most `max_count` of them, those
    /// of the requests with the latest crashes first. It includes crashes that were announced
    /// before.
    pub fn held_crashes(&self, max_count: usize, now_ms: u64) -> Vec<KnownCrash> {
        let mut held = self.held(now_ms);
        held.sort_unstable_by_key(|f| std::cmp::Reverse(self.suspects[f].last_ms()));
        let crashes = held.into_iter().flat_map(|fingerprint| {
            let open = self.suspects[&fingerprint].open_crashes();
            open.map(move |crash| known_crash(fingerprint, crash, now_ms))
        });
        crashes.take(max_count).collect()
    }

    /// Returns the records that this daemon has to write to the store, at most `max_count` of
    /// them: those of requests that had a crash observed by this daemon and have more crashes than
    /// were last written, and those of requests that were written and have been cleared since.
    ///
    /// Requests that are one crash short of being held back are written, too. Otherwise
    /// daemons of failure domains that can reach the store but not each other would each
    /// allow the full number of crashes.
    pub fn to_write(&self, max_count: usize, now_ms: u64) -> Vec<SuspectRecord> {
        let min_crashes = self.min_written();
        let due = self.suspects.iter().filter(|(_, suspect)| {
            let known = suspect.open_crashes().count();
            let is_own = suspect.crashes.iter().any(|crash| crash.is_own);
            let is_change = is_own && suspect.count() >= min_crashes && known > suspect.written;
            is_change || known == 0 && suspect.written > 0
        });
        let mut due: Vec<_> = due.collect();
        due.sort_unstable_by_key(|(_, suspect)| std::cmp::Reverse(suspect.count()));
        let records = due.into_iter().map(|(fingerprint, suspect)| SuspectRecord {
            fingerprint: *fingerprint,
            ends: suspect
                .open_crashes()
                .map(|crash| known_crash(*fingerprint, crash, now_ms))
                .collect(),
        });
        records.take(max_count).collect()
    }

    /// Records that the store may have lost what this daemon wrote: records, and removals of
    /// records whose requests were cleared. They have to be written again.
    pub fn forget_written(&mut self) {
        let min_crashes = self.min_written();
        for suspect in self.suspects.values_mut() {
            let may_have_removed = suspect.open_crashes().count() == 0;
            let was_written = suspect.crashes.len() >= min_crashes;
            suspect.written = usize::from(may_have_removed && was_written);
        }
    }

    /// Returns from how many crashes on a request is written to the store.
    fn min_written(&self) -> usize {
        self.bounds.ends.saturating_sub(1).max(1)
    }

    /// Records that a record was written to the store.
    pub fn record_written(&mut self, record: &SuspectRecord) {
        if let Some(suspect) = self.suspects.get_mut(&record.fingerprint) {
            suspect.written = record.ends.len();
        }
    }

    /// Clears a request whose stored record is empty, without announcing it.
    pub fn apply_cleared(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.clear(0);
        }
    }

    /// Returns whether all crashes of a stored record are older than the retention time.
    pub fn is_outdated(&self, record: &SuspectRecord) -> bool {
        let mut crashes = record.ends.iter();
        crashes.all(|crash| crash.age_ms >= self.retention_ms())
    }

    /// Removes requests that had no crash within the retention time.
    pub fn tick(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms();
        self.suspects
            .retain(|_, suspect| now_ms < suspect.last_ms() + retention_ms);
    }

    /// Returns how long a request is kept after its last crash, in milliseconds: twice the
    /// time that it is held back.
    fn retention_ms(&self) -> u64 {
        2 * self.bounds.hold_ms()
    }

    /// Returns the entry of a request. If the table is full, a new entry replaces the one with
    /// the fewest crashes, the oldest among equals.
    fn suspect(&mut self, fingerprint: RequestFingerprint) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let rank = |suspect: &Suspect| (suspect.count(), suspect.last_ms());
            let least_suspected = self.suspects.iter().min_by_key(|(_, s)| rank(s));
            let least_suspected = least_suspected.map(|(fingerprint, _)| *fingerprint);
            if let Some(least_suspected) = least_suspected {
                self.suspects.remove(&least_suspected);
                self.dropped += 1;
            }
        }
        self.suspects.entry(fingerprint).or_default()
    }
}

fn known_crash(fingerprint: RequestFingerprint, crash: &UpstreamCrash, now_ms: u64) -> KnownCrash {
    KnownCrash {
        fingerprint,
        upstream: crash.upstream.clone(),
        age_ms: now_ms.saturating_sub(crash.at_ms),
        ran_ms: crash.ran_ms,
        is_cleared: crash.is_cleared,
    }
}
