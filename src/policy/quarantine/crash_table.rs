use {
    super::*,
    crate::names::{RequestFingerprint, UpstreamId},
    std::collections::HashMap,
};

/// Two ends of one upstream that this daemon saw this close to each other are one, in
/// milliseconds: the requests that ran there are cut off one after the other.
const OWN_APART_MS: u64 = 1_000;
/// The same for ends that other daemons tell of: the age that they tell grows on its way.
const TOLD_APART_MS: u64 = 3_000;
/// How often an end is told that this daemon saw, or that it passes on: a datagram may be
/// lost. Three of four times in a row are lost once in 10,000 where one in ten is.
const ANNOUNCEMENTS: u8 = 4;
/// How many requests are kept, which bounds memory. A domain that is lost cuts off some
/// hundred requests; of those, it is enough to keep the last ones.
const MAX_SUSPECTS: usize = 512;
/// By how many ends more a request is held back beside which another one always ran that
/// may as well be the cause. That happens to requests that come together; each is then
/// placed by itself, which tells them apart.
const ENDS_IN_COMPANY: usize = 2;

/// A crash of an upstream under a request, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
    /// For how long the request had been there by then, in milliseconds.
    pub ran_ms: u64,
    /// Whether the request was answered whole since.
    pub is_cleared: bool,
}

/// What is written down of a request under which upstreams ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The upstreams that ended under it; none if that is nothing to go by any more.
    pub ends: Vec<KnownCrash>,
}

/// Crashes to announce next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashesToAnnounce {
    /// The hubs of all failure domains, or those of the daemon's own if it is none.
    pub hubs: Vec<KnownCrash>,
    /// The daemons that report to a hub.
    pub members: Vec<KnownCrash>,
}

/// The requests under which upstreams ended, by what this daemon saw and others told.
///
/// A request that ends each upstream which begins to run it comes again with another id,
/// at any daemon. Nothing in one try tells it from those that ran beside it: what does is
/// that it was there each time, and is never answered. So each end counts for all requests
/// that were cut off by it; a request is held back once enough ends are its own, that is, no
/// request was there under which as many ended. Ends count in turn: those of upstreams that
/// are lost together are one. An answer that is whole clears a request.
///
/// What daemons tell each other can be taken in in any order, and more than once.
#[derive(Debug)]
pub struct CrashTable {
    bounds: QuarantineBounds,
    suspects: HashMap<RequestFingerprint, Suspect>,
}

impl CrashTable {
    /// Makes an empty book.
    pub fn new(bounds: QuarantineBounds) -> Self {
        Self {
            bounds,
            suspects: HashMap::new(),
        }
    }

    /// Returns whether no upstream ended under any request lately: then no fingerprint
    /// is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many requests are kept under which upstreams ended.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Notes that an upstream ended at `at_ms` under a request that had been there for
    /// `ran_ms`, as this daemon saw; returns whether that is news.
    pub fn record_end(
        &mut self,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamId,
        ran_ms: u64,
        at_ms: u64,
    ) -> bool {
        let suspect = self.suspect(fingerprint);
        let is_same = |end: &&mut UpstreamCrash| end.is_same(upstream, at_ms, OWN_APART_MS);
        if let Some(known) = suspect.ends.iter_mut().find(is_same) {
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

    /// Takes in what another daemon told; `passes_on` says whether this one tells other
    /// hubs (true), only those that report to it (false), or nobody. Returns whether it is
    /// news.
    pub fn apply(&mut self, told: &KnownCrash, passes_on: Option<bool>, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(told.age_ms);
        if now_ms >= at_ms + self.kept_ms() {
            return false;
        }
        let announcements_left = passes_on.map_or(0, |_| ANNOUNCEMENTS);
        let announces_to_hubs = passes_on == Some(true);
        let suspect = self.suspect(told.fingerprint);
        let is_same = |end: &&mut UpstreamCrash| end.is_same(&told.upstream, at_ms, TOLD_APART_MS);
        if let Some(known) = suspect.ends.iter_mut().find(is_same) {
            let is_change = told.is_cleared && !known.is_cleared;
            if is_change {
                known.is_cleared = true;
                known.announcements_left = announcements_left;
                known.announces_to_hubs = announces_to_hubs;
            }
            return is_change;
        }
        suspect.add(UpstreamCrash {
            upstream: told.upstream.clone(),
            at_ms,
            ran_ms: told.ran_ms,
            is_cleared: told.is_cleared,
            is_own: false,
            announcements_left,
            announces_to_hubs,
        });
        true
    }

    /// Notes that a request was answered whole; returns whether that is news.
    pub fn record_complete(&mut self, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.clear(ANNOUNCEMENTS))
    }

    /// Returns whether more than one upstream ended under a request that it may have ended:
    /// one ends under all that run there, whatever the cause.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.count() > 1)
    }

    /// Returns for how long a request is held back, in milliseconds; none if it is not.
    pub fn held_for(&self, fingerprint: RequestFingerprint, now_ms: u64) -> Option<u64> {
        let suspect = self.suspects.get(&fingerprint)?;
        let until_ms = suspect.last_ms() + self.bounds.hold_ms();
        let is_held = now_ms < until_ms && self.is_cause(fingerprint, suspect);
        is_held.then(|| until_ms - now_ms)
    }

    /// Returns whether a request has ended upstreams, as far as can be told.
    fn is_cause(&self, fingerprint: RequestFingerprint, suspect: &Suspect) -> bool {
        let count = suspect.count();
        if count < self.bounds.ends {
            return false;
        }
        let others = |end: &UpstreamCrash| self.others_at(end, fingerprint);
        let own = suspect.open_ends().filter(|end| others(end) < count);
        if in_turn(own) >= self.bounds.ends {
            return true;
        }
        let shared = suspect.open_ends().filter(|end| others(end) <= count);
        in_turn(shared) >= self.bounds.ends + ENDS_IN_COMPANY
    }

    /// Returns under how many ends any other request was that was there at one.
    fn others_at(&self, end: &UpstreamCrash, but: RequestFingerprint) -> usize {
        let others = self.suspects.iter().filter(|(other, _)| **other != but);
        let there = others.filter(|(_, suspect)| {
            let mut open = suspect.open_ends();
            open.any(|other| other.is_same(&end.upstream, end.at_ms, TOLD_APART_MS))
        });
        there.map(|(_, suspect)| suspect.count()).max().unwrap_or(0)
    }

    /// Returns the requests that are held back.
    pub fn held(&self, now_ms: u64) -> Vec<RequestFingerprint> {
        let all = self.suspects.keys().copied();
        all.filter(|f| self.held_for(*f, now_ms).is_some())
            .collect()
    }

    /// Returns what to tell next, at most some ends: first of requests under which most
    /// upstreams ended.
    pub fn to_announce(&mut self, most: usize, now_ms: u64) -> CrashesToAnnounce {
        let mut due: Vec<(usize, u64, RequestFingerprint)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.ends.iter().any(|end| end.announcements_left > 0))
            .map(|(fingerprint, suspect)| (suspect.count(), suspect.last_ms(), *fingerprint))
            .collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut told = CrashesToAnnounce::default();
        for (.., fingerprint) in due {
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
                continue;
            };
            for end in suspect
                .ends
                .iter_mut()
                .filter(|end| end.announcements_left > 0)
            {
                if told.members.len() >= most {
                    return told;
                }
                end.announcements_left -= 1;
                let known = known_end(fingerprint, end, now_ms);
                if end.announces_to_hubs {
                    told.hubs.push(known.clone());
                }
                told.members.push(known);
            }
        }
        told
    }

    /// Returns the ends under requests that are held back, whether told before or not, at
    /// most some: the last ones first.
    pub fn held_crashes(&self, most: usize, now_ms: u64) -> Vec<KnownCrash> {
        let mut held = self.held(now_ms);
        held.sort_unstable_by_key(|f| std::cmp::Reverse(self.suspects[f].last_ms()));
        let ends = held.into_iter().flat_map(|fingerprint| {
            let open = self.suspects[&fingerprint].open_ends();
            open.map(move |end| known_end(fingerprint, end, now_ms))
        });
        ends.take(most).collect()
    }

    /// Returns what this daemon has to write down, at most some: of requests of which it
    /// saw an end, if more is known than when it wrote last; and of those that it wrote
    /// down and that were answered whole since.
    ///
    /// What is one end short of being held back is written, too: daemons of failure
    /// domains that are cut off from each other, but not from what is written, would each
    /// go on up to that number else.
    pub fn to_write(&self, most: usize, now_ms: u64) -> Vec<SuspectRecord> {
        let least = self.bounds.ends.saturating_sub(1).max(1);
        let due = self.suspects.iter().filter(|(_, suspect)| {
            let known = suspect.open_ends().count();
            let is_own = suspect.ends.iter().any(|end| end.is_own);
            let is_change = is_own && suspect.count() >= least && known > suspect.written;
            is_change || known == 0 && suspect.written > 0
        });
        let mut due: Vec<_> = due.collect();
        due.sort_unstable_by_key(|(_, suspect)| std::cmp::Reverse(suspect.count()));
        let records = due.into_iter().map(|(fingerprint, suspect)| SuspectRecord {
            fingerprint: *fingerprint,
            ends: suspect
                .open_ends()
                .map(|end| known_end(*fingerprint, end, now_ms))
                .collect(),
        });
        records.take(most).collect()
    }

    /// Notes what was written down.
    pub fn record_written(&mut self, record: &SuspectRecord) {
        if let Some(suspect) = self.suspects.get_mut(&record.fingerprint) {
            suspect.written = record.ends.len();
        }
    }

    /// Takes in that what was written down of a request is nothing to go by any more.
    pub fn apply_cleared(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.clear(0);
        }
    }

    /// Returns whether what was written down is too old to go by.
    pub fn is_outdated(&self, record: &SuspectRecord) -> bool {
        let mut ends = record.ends.iter();
        ends.all(|end| end.age_ms >= self.kept_ms())
    }

    /// Forgets requests under which no upstream ended for twice the time that they are
    /// held back, and the least suspected where there are too many.
    pub fn tick(&mut self, now_ms: u64) {
        let kept_ms = self.kept_ms();
        self.suspects
            .retain(|_, suspect| now_ms < suspect.last_ms() + kept_ms);
    }

    /// For how long a request is kept after its last end, in milliseconds.
    fn kept_ms(&self) -> u64 {
        2 * self.bounds.hold_ms()
    }

    fn suspect(&mut self, fingerprint: RequestFingerprint) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let rank = |suspect: &Suspect| (suspect.count(), suspect.last_ms());
            let least = self.suspects.iter().min_by_key(|(_, s)| rank(s));
            let least = least.map(|(fingerprint, _)| *fingerprint);
            if let Some(least) = least {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(fingerprint).or_default()
    }
}

fn known_end(fingerprint: RequestFingerprint, end: &UpstreamCrash, now_ms: u64) -> KnownCrash {
    KnownCrash {
        fingerprint,
        upstream: end.upstream.clone(),
        age_ms: now_ms.saturating_sub(end.at_ms),
        ran_ms: end.ran_ms,
        is_cleared: end.is_cleared,
    }
}
