use {super::UsualNumber, crate::names::UpstreamId, std::collections::HashSet};

/// Number of streams after which a number counts as known.
const MIN_STREAMS: u32 = 8;
/// Number of streams after which deviations of few upstreams are forgotten.
const WINDOW_STREAMS: u32 = 4_096;
/// Number of deviating streams from which on a value may count as varying.
const MIN_DEVIATING: u32 = 3;

/// A number that streams of a service share, learned from their answers.
///
/// It stands if most upstreams keep to it: where a few upstreams deviate, they are faulty; where most
/// of them deviate now and then, that is sound.
#[derive(Clone, Debug, Default)]
pub struct UsualValue {
    value: Option<u64>,
    /// Streams with the value, since it is `value`.
    matching: u32,
    /// Streams with another value, since it is `value` or since deviations were last forgotten.
    deviating: u32,
    /// Streams since deviations were last forgotten, and a few before.
    total: u32,
    upstreams: HashSet<UpstreamId>,
    deviating_upstreams: HashSet<UpstreamId>,
}

impl UsualValue {
    /// Records the value of a stream; `None` if it has several.
    pub fn record(&mut self, upstream: &UpstreamId, value: Option<u64>) {
        // What has been found to vary goes on to vary.
        if self.total >= WINDOW_STREAMS && self.is_kept() {
            self.forget_deviations();
        }
        self.total = self.total.saturating_add(1);
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

    /// Returns whether most upstreams keep to the value.
    fn is_kept(&self) -> bool {
        self.deviating < MIN_DEVIATING || 2 * self.deviating_upstreams.len() <= self.upstreams.len()
    }

    /// Returns what is known of the value.
    pub fn usual(&self) -> UsualNumber {
        match self.value {
            Some(value) if self.matching >= MIN_STREAMS && self.is_kept() => {
                UsualNumber::Always(value)
            }
            _ if self.total >= 2 * MIN_STREAMS => UsualNumber::Varies,
            _ => UsualNumber::Unknown,
        }
    }
}
