use {super::*, crate::names::UpstreamId, std::collections::HashMap};

/// How often news of a limit are told: a datagram may be lost. Three of four times in a row
/// are lost once in 10,000 where one in ten is.
const ANNOUNCEMENTS: u8 = 4;
/// For how long it is known that a limit has lapsed, in milliseconds: as long as daemons
/// that were cut off are known, which may still tell of it.
const LAPSED_KEPT_MS: u64 = 60_000;
/// At which pace an upstream is asked that takes less, or nothing at all, in requests a
/// second: only its answers tell that its limit has lapsed. One in four seconds is less
/// than what is on its way to an upstream anyhow when it names a limit.
const LEAST_PER_S: f64 = 0.25;
/// How long those are sent away at most that are in line for a permit, in milliseconds,
/// where the next one is due sooner.
const MAX_LINE_MS: f64 = 1_000.0;
/// How many upstreams are kept, each with less than 200 bytes: more than there are.
const MAX_UPSTREAMS: usize = 4_096;

/// What is known of one upstream.
#[derive(Clone, Debug)]
struct Entry {
    rate: Option<RequestRate>,
    /// How many times it is known to have changed.
    version: u64,
    /// When the answer came that said so last.
    at_ms: u64,
    permits: PermitBucket,
    /// How many were sent away since a permit was given.
    in_line: u32,
    /// Until when there is no permit, as far as is known.
    used_up_until_ms: u64,
    announcements_left: u8,
    announces_to_hubs: bool,
}

/// The limits that upstreams name, by what this daemon heard and others told, and the
/// permits that it issues.
///
/// The newest answer counts, of whatever daemon's request. One that names no limit lifts it
/// only if its request was sent after the limit was last named: an answer may have begun
/// before, and come late. What daemons tell each other can be taken in in any order, and
/// more than once: each change has a version, one above what the daemon knew; of two with
/// the same the lower limit counts, until the next answer. Ages can't order them: they are
/// too low by the time on the way, at each daemon that passes them on. Who hears something
/// older tells what is newer.
///
/// One daemon issues the permits of an upstream, at the pace that it names, to whoever
/// asks first: so a limit is used up wherever the load comes in, and not exceeded however
/// many daemons there are. Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    upstreams: HashMap<UpstreamId, Entry>,
}

impl LimitTable {
    /// Returns of how many upstreams anything is known.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether no upstream has named a limit lately.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns what an upstream takes; none if it names no limit.
    pub fn rate(&self, id: &UpstreamId) -> Option<RequestRate> {
        self.upstreams.get(id)?.rate
    }

    /// Returns the upstreams that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        let all = self.upstreams.iter();
        all.filter_map(|(id, entry)| Some((id, entry.rate?)))
    }

    /// Takes in what an answer says whose request was sent at `sent_ms`; returns whether
    /// that is news.
    pub fn record_answer(
        &mut self,
        id: &UpstreamId,
        named: NamedLimit,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        match named {
            NamedLimit::Unreadable => false,
            NamedLimit::Rate(rate) => self.record(id, Some(rate), now_ms, now_ms),
            NamedLimit::Absent => {
                let known = self.upstreams.get(id);
                let lifts = known.is_some_and(|e| e.rate.is_some() && sent_ms >= e.at_ms);
                lifts && self.record(id, None, sent_ms, now_ms)
            }
        }
    }

    /// Notes what an answer to this daemon's request says.
    fn record(
        &mut self,
        id: &UpstreamId,
        rate: Option<RequestRate>,
        at_ms: u64,
        now_ms: u64,
    ) -> bool {
        let known = self.upstreams.get_mut(id);
        let version = match known {
            Some(entry) if entry.rate == rate => {
                entry.at_ms = entry.at_ms.max(at_ms);
                return false;
            }
            Some(entry) => entry.version.saturating_add(1),
            None => 1,
        };
        let told = KnownLimit {
            upstream: id.clone(),
            rate,
            version,
            age_ms: now_ms.saturating_sub(at_ms),
        };
        self.apply(&told, Some(true), now_ms)
    }

    /// Takes in what another daemon told; `passes_on` says whether this one tells other
    /// hubs (true), only those that report to it (false), or nobody. Returns whether it is
    /// news.
    pub fn apply(&mut self, told: &KnownLimit, passes_on: Option<bool>, now_ms: u64) -> bool {
        let announcements_left = passes_on.map_or(0, |_| ANNOUNCEMENTS);
        let announces_to_hubs = passes_on == Some(true);
        let at_ms = now_ms.saturating_sub(told.age_ms);
        let Some(entry) = self.upstreams.get_mut(&told.upstream) else {
            if told.rate.is_none() || self.upstreams.len() >= MAX_UPSTREAMS {
                return false;
            }
            let entry = Entry {
                rate: told.rate,
                version: told.version,
                at_ms,
                permits: PermitBucket::new(now_ms),
                in_line: 0,
                used_up_until_ms: 0,
                announcements_left,
                announces_to_hubs,
            };
            self.upstreams.insert(told.upstream.clone(), entry);
            return true;
        };
        let is_other = told.rate != entry.rate;
        if !told.supersedes(entry.version, entry.rate) {
            if is_other {
                (entry.announcements_left, entry.announces_to_hubs) = (ANNOUNCEMENTS, true);
            }
            return false;
        }
        (entry.announcements_left, entry.announces_to_hubs) =
            (announcements_left, announces_to_hubs);
        entry.version = told.version;
        match is_other {
            true => entry.change(told.rate, at_ms, now_ms),
            false => entry.at_ms = entry.at_ms.max(at_ms),
        }
        is_other
    }

    /// Takes a permit to send one request to an upstream, of `share` of those that it allows.
    ///
    /// # Errors
    ///
    /// Returns in how many milliseconds to come again.
    pub fn take(&mut self, id: &UpstreamId, share: PermitShare, now_ms: u64) -> Result<(), u64> {
        let Some(entry) = self.upstreams.get_mut(id).filter(|e| e.rate.is_some()) else {
            return Ok(());
        };
        let read_schedule = share
            .of(entry.read_schedule())
            .max(LEAST_PER_S * share.part);
        match entry.permits.take(read_schedule, now_ms) {
            Ok(()) => {
                entry.in_line = 0;
                Ok(())
            }
            Err(next_ms) => {
                let line_ms = f64::from(entry.in_line) / read_schedule * 1_000.0;
                entry.in_line += 1;
                let wait_ms = (next_ms + line_ms).min(next_ms.max(MAX_LINE_MS));
                Err(wait_ms.ceil() as u64)
            }
        }
    }

    /// Notes that there is no permit for a while. Of several waits the shortest counts:
    /// who was sent away first is first in line.
    pub fn record_used_up(&mut self, id: &UpstreamId, wait_ms: u64, now_ms: u64) {
        if let Some(entry) = self.upstreams.get_mut(id) {
            let until_ms = now_ms + wait_ms;
            entry.used_up_until_ms = match now_ms < entry.used_up_until_ms {
                true => until_ms.min(entry.used_up_until_ms),
                false => until_ms,
            };
        }
    }

    /// Returns whether there is no permit for an upstream now, as far as is known.
    pub fn is_used_up(&self, id: &UpstreamId, now_ms: u64) -> bool {
        let entry = self.upstreams.get(id).filter(|e| e.rate.is_some());
        entry.is_some_and(|e| now_ms < e.used_up_until_ms)
    }

    /// Returns what is known of an upstream's limit.
    pub fn known(&self, id: &UpstreamId, now_ms: u64) -> Option<KnownLimit> {
        let entry = self.upstreams.get(id)?;
        Some(entry.known(id, now_ms))
    }

    /// Returns the news to tell next, at most some.
    pub fn to_announce(&mut self, most: usize, now_ms: u64) -> LimitsToAnnounce {
        let mut told = LimitsToAnnounce::default();
        let due = self
            .upstreams
            .iter_mut()
            .filter(|(_, e)| e.announcements_left > 0);
        for (id, entry) in due.take(most) {
            entry.announcements_left -= 1;
            let known = entry.known(id, now_ms);
            if entry.announces_to_hubs {
                told.hubs.push(known.clone());
            }
            told.members.push(known);
        }
        told
    }

    /// Returns the limits that are in force, told before or not.
    pub fn in_force(&self, now_ms: u64) -> Vec<KnownLimit> {
        let limited = self.upstreams.iter().filter(|(_, e)| e.rate.is_some());
        limited.map(|(id, entry)| entry.known(id, now_ms)).collect()
    }

    /// Forgets limits that lapsed long ago.
    pub fn tick(&mut self, now_ms: u64) {
        self.upstreams
            .retain(|_, e| e.rate.is_some() || now_ms < e.at_ms + LAPSED_KEPT_MS);
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_known(id));
    }
}

impl Entry {
    fn change(&mut self, rate: Option<RequestRate>, at_ms: u64, now_ms: u64) {
        match self.rate {
            Some(_) => self.permits.refill(self.read_schedule(), now_ms),
            None => self.permits = PermitBucket::new(now_ms),
        }
        self.used_up_until_ms = 0;
        (self.rate, self.at_ms) = (rate, at_ms);
    }

    /// Returns the pace at which permits come, a second.
    fn read_schedule(&self) -> f64 {
        self.rate
            .map_or(LEAST_PER_S, |rate| rate.per_s().max(LEAST_PER_S))
    }

    fn known(&self, id: &UpstreamId, now_ms: u64) -> KnownLimit {
        KnownLimit {
            upstream: id.clone(),
            rate: self.rate,
            version: self.version,
            age_ms: now_ms.saturating_sub(self.at_ms),
        }
    }
}
