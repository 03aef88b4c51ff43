use {super::*, crate::names::UpstreamId, std::collections::HashMap};

/// How often a change of a limit is announced, since a datagram may be lost. At a loss rate
/// of one in ten, four losses in a row happen once in 10,000.
const ANNOUNCEMENTS: u8 = 4;
/// How long a lapsed limit is remembered, in milliseconds: as long as daemons that are cut
/// off are remembered, which may still announce it.
const LAPSED_RETENTION_MS: u64 = 60_000;
/// The lowest rate, in requests per second, at which an upstream is sent requests, even if
/// its limit is lower or zero: only its answers show that the limit has lapsed. One request
/// in four seconds is less than what is in flight to an upstream anyway when it names a
/// limit.
const PROBE_PER_S: f64 = 0.25;
/// The longest wait that is named to a daemon whose request queues for a permit behind
/// others, in milliseconds, unless the next permit itself is due later than that.
const MAX_QUEUE_WAIT_MS: f64 = 1_000.0;
/// The most upstreams that are stored, more than a fleet has. Each takes less than 200 bytes.
const MAX_UPSTREAMS: usize = 4_096;

/// What is known about one upstream.
#[derive(Clone, Debug)]
struct Entry {
    rate: Option<RequestRate>,
    /// Version of the limit, as in [`KnownLimit`].
    version: u64,
    /// Arrival time of the latest answer that confirmed the rate.
    at_ms: u64,
    permits: PermitBucket,
    /// Number of requests that were refused since the last permit was issued.
    queued: u32,
    /// Time until which no permit is available, as far as this daemon knows.
    exhausted_until_ms: u64,
    announcements_left: u8,
    announces_to_hubs: bool,
}

/// Rate limits of upstreams, from answers to this daemon and announcements of others, and the
/// permits that this daemon issues.
///
/// The newest answer counts, whichever daemon sent the request. An answer that names no limit
/// lifts the limit only if its request was sent after the limit was last named: the answer
/// may have begun before that and arrive late. Announcements may be applied in any order and
/// more than once. Each change gets a version that is one higher than the version that the
/// daemon knew; of two changes with the same version the lower limit counts, until the next
/// answer. Ages can't order changes: they are too low by the transmission time to each daemon
/// that relays them. A daemon that receives an outdated limit announces its newer one.
///
/// One daemon issues all permits of an upstream, at the rate that the upstream names, in the
/// order of the queries. So the limit is fully used wherever the load arrives, and not
/// exceeded however many daemons there are. Times are milliseconds of the daemon's monotonic
/// clock.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    upstreams: HashMap<UpstreamId, Entry>,
}

impl LimitTable {
    /// Returns the number of upstreams in the table.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns true if no upstream has named a limit recently.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the limit of an upstream; `None` if it names no limit.
    pub fn rate(&self, id: &UpstreamId) -> Option<RequestRate> {
        self.upstreams.get(id)?.rate
    }

    /// Returns the upstreams that name a limit, with their limits.
    pub fn limited(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        let all = self.upstreams.iter();
        all.filter_map(|(id, entry)| Some((id, entry.rate?)))
    }

    /// Applies what an answer says about the limit, where its request was sent at `sent_ms`.
    /// Returns true if this changes the limit.
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

    /// Records the limit according to an answer to this daemon's request. Returns true if it
    /// changed.
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
        let announced = KnownLimit {
            upstream: id.clone(),
            rate,
            version,
            age_ms: now_ms.saturating_sub(at_ms),
        };
        self.apply(&announced, Some(true), now_ms)
    }

    /// Applies a limit that another daemon announced. `forward_to_hubs` says to whom this daemon
    /// announces it in turn: to other hubs as well (`Some(true)`), only to the daemons that
    /// report to it (`Some(false)`), or to nobody (`None`). Returns true if the limit
    /// changed.
    pub fn apply(
        &mut self,
        announced: &KnownLimit,
        forward_to_hubs: Option<bool>,
        now_ms: u64,
    ) -> bool {
        let announcements_left = forward_to_hubs.map_or(0, |_| ANNOUNCEMENTS);
        let announces_to_hubs = forward_to_hubs == Some(true);
        let at_ms = now_ms.saturating_sub(announced.age_ms);
        let Some(entry) = self.upstreams.get_mut(&announced.upstream) else {
            if announced.rate.is_none() || self.upstreams.len() >= MAX_UPSTREAMS {
                return false;
            }
            let entry = Entry {
                rate: announced.rate,
                version: announced.version,
                at_ms,
                permits: PermitBucket::new(now_ms),
                queued: 0,
                exhausted_until_ms: 0,
                announcements_left,
                announces_to_hubs,
            };
            self.upstreams.insert(announced.upstream.clone(), entry);
            return true;
        };
        let is_change = announced.rate != entry.rate;
        if !announced.supersedes(entry.version, entry.rate) {
            if is_change {
                (entry.announcements_left, entry.announces_to_hubs) = (ANNOUNCEMENTS, true);
            }
            return false;
        }
        (entry.announcements_left, entry.announces_to_hubs) =
            (announcements_left, announces_to_hubs);
        entry.version = announced.version;
        match is_change {
            true => entry.change(announced.rate, at_ms, now_ms),
            false => entry.at_ms = entry.at_ms.max(at_ms),
        }
        is_change
    }

    /// Takes a permit to send one request to an upstream, from `share` of the permits that
    /// its limit allows.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, in milliseconds, if no permit is available.
    pub fn take(&mut self, id: &UpstreamId, share: PermitShare, now_ms: u64) -> Result<(), u64> {
        let Some(entry) = self.upstreams.get_mut(id).filter(|e| e.rate.is_some()) else {
            return Ok(());
        };
        let per_s = share
            .of(entry.permits_per_s())
            .max(PROBE_PER_S * share.part);
        match entry.permits.take(per_s, now_ms) {
            Ok(()) => {
                entry.queued = 0;
                Ok(())
            }
            Err(next_ms) => {
                let queue_ms = f64::from(entry.queued) / per_s * 1_000.0;
                entry.queued += 1;
                let wait_ms = (next_ms + queue_ms).min(next_ms.max(MAX_QUEUE_WAIT_MS));
                Err(wait_ms.ceil() as u64)
            }
        }
    }

    /// Records that no permit is available for a while. Of several waits the shortest counts:
    /// the request that was refused first is first in the queue.
    pub fn record_used_up(&mut self, id: &UpstreamId, wait_ms: u64, now_ms: u64) {
        if let Some(entry) = self.upstreams.get_mut(id) {
            let until_ms = now_ms + wait_ms;
            entry.exhausted_until_ms = match now_ms < entry.exhausted_until_ms {
                true => until_ms.min(entry.exhausted_until_ms),
                false => until_ms,
            };
        }
    }

    /// Returns true if no permit for an upstream is available now, as far as this daemon
    /// knows.
    pub fn is_used_up(&self, id: &UpstreamId, now_ms: u64) -> bool {
        let entry = self.upstreams.get(id).filter(|e| e.rate.is_some());
        entry.is_some_and(|e| now_ms < e.exhausted_until_ms)
    }

    /// Returns the known limit of an upstream, lapsed or not.
    pub fn known(&self, id: &UpstreamId, now_ms: u64) -> Option<KnownLimit> {
        let entry = self.upstreams.get(id)?;
        Some(entry.known(id, now_ms))
    }

    /// Returns the changes to announce next, of at most `max` upstreams.
    pub fn to_announce(&mut self, max: usize, now_ms: u64) -> LimitsToAnnounce {
        let mut announced = LimitsToAnnounce::default();
        let due = self
            .upstreams
            .iter_mut()
            .filter(|(_, e)| e.announcements_left > 0);
        for (id, entry) in due.take(max) {
            entry.announcements_left -= 1;
            let known = entry.known(id, now_ms);
            if entry.announces_to_hubs {
                announced.hubs.push(known.clone());
            }
            announced.members.push(known);
        }
        announced
    }

    /// Returns all limits that are in force, whether or not their last change is still to be
    /// announced.
    pub fn in_force(&self, now_ms: u64) -> Vec<KnownLimit> {
        let limited = self.upstreams.iter().filter(|(_, e)| e.rate.is_some());
        limited.map(|(id, entry)| entry.known(id, now_ms)).collect()
    }

    /// Removes limits that lapsed longer ago than the retention time.
    pub fn tick(&mut self, now_ms: u64) {
        self.upstreams
            .retain(|_, e| e.rate.is_some() || now_ms < e.at_ms + LAPSED_RETENTION_MS);
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_known(id));
    }
}

impl Entry {
    fn change(&mut self, rate: Option<RequestRate>, at_ms: u64, now_ms: u64) {
        match self.rate {
            Some(_) => self.permits.refill(self.permits_per_s(), now_ms),
            None => self.permits = PermitBucket::new(now_ms),
        }
        self.exhausted_until_ms = 0;
        (self.rate, self.at_ms) = (rate, at_ms);
    }

    /// Returns the rate at which permits are issued, per second: the limit, but at least the
    /// probing rate.
    fn permits_per_s(&self) -> f64 {
        self.rate
            .map_or(PROBE_PER_S, |rate| rate.per_s().max(PROBE_PER_S))
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
