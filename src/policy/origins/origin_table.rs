use {
    super::{AnnouncedOrigin, AttemptKey, StreamOrigin},
    crate::names::ServiceName,
    rapidhash::RapidHashMap,
    std::collections::VecDeque,
};

/// Maximum number of streams that are remembered, which take up to 8 MB.
const MAX_ORIGINS: usize = 65_536;
/// Maximum number of origins that wait to be written to the shared log.
const MAX_TO_LOG: usize = 8_192;

#[derive(Clone, Debug)]
struct KnownOrigin {
    origin: StreamOrigin,
    expires_ms: u64,
}

/// The origins of streams that clients may still take up: those of streams that this daemon began, and
/// those that others announced. Times are milliseconds of the daemon's steady clock.
#[derive(Debug, Default)]
pub struct OriginTable {
    known: RapidHashMap<AttemptKey, KnownOrigin>,
    /// The attempts of `known` in the order in which they became known.
    order: VecDeque<AttemptKey>,
    /// The streams that this daemon began and has not announced.
    unannounced: Vec<AttemptKey>,
    /// The attempts whose origins this daemon is to write to the shared log.
    to_log: VecDeque<AttemptKey>,
    /// Number of origins that were dropped for want of room before they expired, since the last count.
    dropped: u64,
}

impl OriginTable {
    /// Records the origin of a stream that goes out through this daemon.
    pub fn record_own(
        &mut self,
        key: AttemptKey,
        origin: StreamOrigin,
        expires_ms: u64,
        now_ms: u64,
    ) {
        if self.record(key, origin, expires_ms, now_ms) {
            self.unannounced.push(key);
        }
    }

    /// Records a stream's origin. The first record of an attempt stands, and later ones only prolong it:
    /// the first event has one writer. Returns whether the attempt was unknown.
    pub fn record(
        &mut self,
        key: AttemptKey,
        origin: StreamOrigin,
        expires_ms: u64,
        now_ms: u64,
    ) -> bool {
        if let Some(known) = self.known.get_mut(&key).filter(|k| k.expires_ms > now_ms) {
            known.expires_ms = known.expires_ms.max(expires_ms);
            return false;
        }
        let known = KnownOrigin { origin, expires_ms };
        if self.known.insert(key, known).is_none() {
            self.order.push_back(key);
        }
        self.drop_excess(now_ms);
        true
    }

    fn drop_excess(&mut self, now_ms: u64) {
        while self.order.len() > MAX_ORIGINS
            && let Some(oldest) = self.order.pop_front()
        {
            let dropped = self.known.remove(&oldest);
            let is_lost = dropped.is_some_and(|known| known.expires_ms > now_ms);
            self.dropped += u64::from(is_lost);
        }
    }

    /// Returns the origin of the stream that an attempt began.
    pub fn get(&self, key: AttemptKey, now_ms: u64) -> Option<&StreamOrigin> {
        let known = self.known.get(&key)?;
        (known.expires_ms > now_ms).then_some(&known.origin)
    }

    /// Takes the origins that are to be announced of services for which `is_due` holds. The others stay.
    pub fn take_unannounced(
        &mut self,
        is_due: impl Fn(&ServiceName) -> bool,
        now_ms: u64,
    ) -> Vec<AnnouncedOrigin> {
        let mut due = Vec::new();
        for key in std::mem::take(&mut self.unannounced) {
            match self.announced(key, now_ms) {
                Some(announced) if is_due(&announced.origin.service) => due.push(announced),
                Some(_) => self.unannounced.push(key),
                None => {}
            }
        }
        due
    }

    /// Takes the origin of one stream, if it is still to be announced.
    pub fn take_unannounced_of(&mut self, key: AttemptKey, now_ms: u64) -> Option<AnnouncedOrigin> {
        let index = self.unannounced.iter().rposition(|k| *k == key)?;
        self.unannounced.swap_remove(index);
        self.announced(key, now_ms)
    }

    /// Returns whether any origin is still to be announced.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Records that this daemon is to write origins to the shared log.
    pub fn add_to_log(&mut self, keys: impl Iterator<Item = AttemptKey>) {
        self.to_log.extend(keys);
        while self.to_log.len() > MAX_TO_LOG {
            self.to_log.pop_front();
        }
    }

    /// Takes the origins that are to be written to the shared log.
    pub fn take_to_log(&mut self, now_ms: u64) -> Vec<AnnouncedOrigin> {
        let keys = std::mem::take(&mut self.to_log);
        let alive = keys
            .into_iter()
            .filter_map(|key| self.announced(key, now_ms));
        alive.collect()
    }

    fn announced(&self, key: AttemptKey, now_ms: u64) -> Option<AnnouncedOrigin> {
        let known = self.known.get(&key)?;
        let left_ms = known.expires_ms.checked_sub(now_ms).filter(|ms| *ms > 0)?;
        Some(AnnouncedOrigin {
            key,
            origin: known.origin.clone(),
            left_ms,
        })
    }

    /// Removes the origins that have expired, as long as no older one is still valid.
    pub fn expire(&mut self, now_ms: u64) {
        let is_over = |known: Option<&KnownOrigin>| known.is_none_or(|k| k.expires_ms <= now_ms);
        while let Some(oldest) = self.order.front()
            && is_over(self.known.get(oldest))
        {
            self.known.remove(oldest);
            self.order.pop_front();
        }
        let known = &self.known;
        self.unannounced.retain(|key| known.contains_key(key));
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the number of origins that were dropped for want of room since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
