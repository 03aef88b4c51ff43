use {super::UsualNumber, crate::names::UpstreamId, std::collections::HashSet};

/// Number of streams after which a number counts as known.
const MIN_STREAMS: u32 = 8;
/// Number of streams after which deviations are forgotten.
const WINDOW_STREAMS: u32 = 4_096;

/// A number that streams of a service share, learned from their answers.
///
/// It stands if most upstreams keep to it: what only few upstreams write otherwise is their fault, and what all write
/// now and then is sound.
#[derive(Clone, Debug, Default)]
pub struct UsualValue {
    value: Option<u64>,
    /// Streams with the value, since it is `value`.
    matching: u32,
    /// Streams with another value, since it is `value`.
    deviating: u32,
    /// Streams in all, up to `WINDOW_STREAMS`.
    total: u32,
    upstreams: HashSet<UpstreamId>,
    deviating_upstreams: HashSet<UpstreamId>,
}

impl UsualValue {
    /// Records the value of a stream; `None` if it has several.
    pub fn record(&mut self, upstream: &UpstreamId, value: Option<u64>) {
        if self.total >= WINDOW_STREAMS {
            self.forget_deviations();
        }
        self.total += 1;
        self.upstreams.insert(upstream.clone());
        if value.is_some() && value == self.value {
            self.matching += 1;
            return;
        }
        self.deviating += 1;
        self.deviating_upstreams.insert(upstream.clone());
        if value.is_some() && self.deviating > self.matching {
            self.value = value;
            self.matching = 1;
            self.deviating = 0;
            self.deviating_upstreams.clear();
        }
    }

    fn forget_deviations(&mut self) {
        self.total = MIN_STREAMS;
        self.matching = self.matching.min(MIN_STREAMS);
        self.deviating = 0;
        self.upstreams.clear();
        self.deviating_upstreams.clear();
    }

    /// Returns what is known of the value.
    pub fn usual(&self) -> UsualNumber {
        let keeps_to_it = 2 * self.deviating_upstreams.len() <= self.upstreams.len();
        match self.value {
            Some(value) if self.matching >= MIN_STREAMS && keeps_to_it => {
                UsualNumber::Always(value)
            }
            _ if self.total >= 2 * MIN_STREAMS => UsualNumber::Varies,
            _ => UsualNumber::Unknown,
        }
    }
}
