use {super::SeenVersions, crate::names::UpstreamVersion};

/// Which upstreams may continue a stream that a client takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Those of this version, which began the stream.
    At(UpstreamVersion),
    /// Any: only one version has served while the stream may have begun.
    Anywhere,
    /// None: the stream may have begun at any of several versions, and what two of them write does not fit
    /// together.
    Nowhere,
}

/// What is known of a stream that a client takes up, from all that could be asked.
#[derive(Clone, Debug, Default)]
pub struct ResumptionEvidence {
    origin: Option<UpstreamVersion>,
    has_seen_several: bool,
    has_seen_only_one: bool,
}

impl ResumptionEvidence {
    /// Adds what one daemon, or the shared log, knows.
    pub fn add(&mut self, origin: Option<UpstreamVersion>, seen: SeenVersions) {
        self.origin = self.origin.take().or(origin);
        self.has_seen_several |= seen == SeenVersions::Several;
        self.has_seen_only_one |= seen == SeenVersions::One;
    }

    /// Returns whether asking others may still change the decision.
    pub fn is_open(&self) -> bool {
        self.origin.is_none() && (self.has_seen_several || !self.has_seen_only_one)
    }

    /// Decides by what is known. If no daemon has run for long enough to know the versions of that time,
    /// those that serve now decide.
    pub fn decide(self) -> Resumption {
        match self.origin {
            Some(version) => Resumption::At(version),
            None if self.has_seen_several => Resumption::Nowhere,
            None => Resumption::Anywhere,
        }
    }
}
