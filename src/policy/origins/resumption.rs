use {
    super::{KnownVersions, SeenVersions},
    crate::names::UpstreamVersion,
    std::collections::BTreeSet,
};

/// Which upstreams may continue a stream that a client takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Those of this version, which is known to have begun the stream.
    At(UpstreamVersion),
    /// Those of this version, which served alone when the stream began: nobody knows its origin, and origins
    /// are announced while there are several versions.
    Inferred(UpstreamVersion),
    /// Any: no daemon has seen any version of the service.
    Anywhere,
    /// None: the stream may have begun at any of several versions, and what two of them write does not fit
    /// together.
    Nowhere,
}

/// What is known of a stream that a client takes up, from all that could be asked. Answers a load in which
/// versions come while a daemon is cut off from the others, or stands still.
#[derive(Clone, Debug, Default)]
pub struct ResumptionEvidence {
    origin: Option<UpstreamVersion>,
    /// The versions that daemons know to have served alone.
    alone: BTreeSet<UpstreamVersion>,
    has_seen_several: bool,
    has_seen_only_one: bool,
    is_log_unread: bool,
    /// True if others are known and none of them has answered.
    is_unheard: bool,
    /// True once another daemon has answered or the log was read, or if there is neither.
    is_confirmed: bool,
}

impl ResumptionEvidence {
    /// Adds what another daemon knows, or the shared log with the record of versions.
    pub fn add_heard(&mut self, origin: Option<UpstreamVersion>, versions: KnownVersions) {
        self.add(origin, versions);
        self.is_confirmed = true;
    }

    /// Records that there are no other daemons and no log that could confirm what this daemon knows.
    pub fn record_nobody_to_ask(&mut self) {
        self.is_confirmed = true;
    }

    /// Adds what this daemon knows. That does not suffice to rule out a second version: the daemon may have
    /// been frozen or cut off while that came.
    pub fn add(&mut self, origin: Option<UpstreamVersion>, versions: KnownVersions) {
        self.origin = self.origin.take().or(origin);
        self.alone.extend(versions.alone);
        self.has_seen_several |= versions.seen == SeenVersions::Several;
        self.has_seen_only_one |= versions.seen == SeenVersions::One;
    }

    /// Records that other daemons are known and none has answered. One of them may know the stream, which the
    /// shared log shows only later.
    pub fn record_unheard(&mut self) {
        self.is_unheard = true;
    }

    /// Returns whether other daemons are known and none has answered.
    pub fn is_unheard(&self) -> bool {
        self.is_unheard
    }

    /// Records that the shared log of origins could not be read: it may hold the stream's origin.
    pub fn record_unread_log(&mut self) {
        self.is_log_unread = true;
    }

    /// Returns whether the version that began the stream is known.
    pub fn has_origin(&self) -> bool {
        self.origin.is_some()
    }

    /// Returns whether asking others may still change the decision.
    pub fn is_open(&self) -> bool {
        !self.has_origin() && !self.is_sure_of_one()
    }

    fn is_sure_of_one(&self) -> bool {
        let has_one = self.has_seen_only_one && !self.has_seen_several;
        has_one && self.alone.len() <= 1 && self.is_confirmed
    }

    /// Decides by what is known. If no daemon knows the versions from before the stream's
    /// begin, the stream can't go on: any version that serves now may be another one.
    pub fn decide(self) -> Resumption {
        let is_sure_of_one = self.is_sure_of_one();
        if let Some(version) = self.origin {
            return Resumption::At(version);
        }
        let mut alone = self.alone.into_iter();
        match (alone.next(), alone.next()) {
            (Some(version), None)
                if is_sure_of_one
                    || (self.is_confirmed && !self.is_log_unread && !self.is_unheard) =>
            {
                Resumption::Inferred(version)
            }
            (None, _) if is_sure_of_one => Resumption::Anywhere,
            _ => Resumption::Nowhere,
        }
    }
}
