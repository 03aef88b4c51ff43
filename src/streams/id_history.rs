use {
    super::{StreamIds, UsualIds, usual_value::UsualValue},
    crate::names::UpstreamId,
};

/// Learns which ids the streams of one software version of a service have.
#[derive(Clone, Debug, Default)]
pub struct IdHistory {
    first: UsualValue,
    step: UsualValue,
}

impl IdHistory {
    /// Records what one upstream has written in one stream.
    pub fn record(&mut self, upstream: &UpstreamId, ids: &StreamIds) {
        if ids.first.is_some() {
            self.first.record(upstream, ids.first);
        }
        if ids.step.is_some() {
            self.step
                .record(upstream, ids.step.filter(|_| !ids.is_uneven));
        }
    }

    /// Returns what is known so far.
    pub fn usual(&self) -> UsualIds {
        UsualIds {
            first: self.first.usual(),
            step: self.step.usual(),
        }
    }
}
