use {
    crate::{names::SourceEra, policy::BoxIncarnation},
    serde::{Deserialize, Serialize},
};

/// Longest term of a lease, in milliseconds; a longer one is cut, so that others take over in the end.
const MAX_TERM_MS: u64 = 300_000;

/// A record of a duties log that takes or renews the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The box that takes the lease.
    pub by: BoxIncarnation,
    /// The fencing token (offset plus one) of the lease that this one follows; 0 for none.
    pub follows: u64,
    /// Duration of the lease, in milliseconds.
    pub term_ms: u64,
    /// The era of the log by which the box appends the record; unknown if the box's build
    /// knows of none.
    #[serde(default, skip_serializing_if = "SourceEra::is_unknown")]
    pub era: SourceEra,
}

/// The state of the lease, folded from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseFold {
    /// The lease in force and its fencing token (offset plus one).
    pub current: Option<(u64, LeaseRecord)>,
    /// The fencing token with which the current holder took the lease; renewals keep it.
    pub tenure: u64,
    /// True if the lease has ended, so that the next record of the same holder is no renewal.
    has_ended: bool,
    /// Offset of the next record to fold.
    next: u64,
}

impl LeaseFold {
    /// Folds a record and returns true if it takes or renews the lease, which it does only
    /// if it follows the lease in force.
    pub fn fold(&mut self, offset: u64, mut record: LeaseRecord) -> bool {
        if offset < self.next {
            return false;
        }
        record.term_ms = record.term_ms.min(MAX_TERM_MS);
        self.next = offset + 1;
        // The oldest record left in the log may follow one that has been removed.
        let is_oldest_left = self.current.is_none() && record.follows > 0;
        if record.follows != self.fence() && !is_oldest_left {
            return false;
        }
        let renewed = !self.has_ended
            && self
                .current
                .as_ref()
                .is_some_and(|(_, old)| old.by == record.by);
        self.has_ended = false;
        if !renewed {
            self.tenure = offset + 1;
        }
        self.current = Some((offset + 1, record));
        true
    }

    /// Returns true if the same record of the log is in force in both states.
    pub fn is_same_lease(&self, other: &Self) -> bool {
        self.current == other.current
            && self.tenure == other.tenure
            && self.has_ended == other.has_ended
    }

    /// Ends the lease in force before its term is over.
    fn end(&mut self) {
        self.has_ended = true;
        if let Some((_, lease)) = &mut self.current {
            lease.term_ms = 0;
        }
    }

    /// Folds a record of another box whether or not it follows the lease in force.
    fn fold_unchained(&mut self, offset: u64, record: LeaseRecord) {
        let chained = LeaseRecord {
            follows: self.fence(),
            ..record.clone()
        };
        if self.fold(offset, chained) {
            let term_ms = record.term_ms.min(MAX_TERM_MS);
            self.current = Some((offset + 1, LeaseRecord { term_ms, ..record }));
        }
    }

    /// Returns the fencing token of the lease in force; 0 for none.
    pub fn fence(&self) -> u64 {
        self.current.as_ref().map_or(0, |(fence, _)| *fence)
    }
}

/// One box's view of a lease. Times are milliseconds of the box's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    fold: LeaseFold,
    /// When this box last read a record that changed the lease.
    seen_at_ms: u64,
    /// Until when this box may act as the holder; 0 if it is not the holder.
    held_until_ms: u64,
    /// Fencing token of this box's lease.
    held_fence: u64,
    /// From when this box, as a new holder, may send orders to upstreams that don't check
    /// fencing tokens: an earlier holder that was paused can then no longer send any.
    unfenced_from_ms: u64,
}

/// The action that a box may take now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Act as the holder.
    Act {
        /// The fencing token that orders carry.
        fence: u64,
        /// Orders may also go to upstreams that don't check fencing tokens.
        unfenced_allowed: bool,
    },
    /// Append this record to take or renew the lease.
    Append(LeaseRecord),
    /// Wait: a lease is in force under which this box may not act.
    Wait,
}

impl LeaseView {
    /// Folds a record that was read at `now_ms`. `appended_at_ms` is the time at which this
    /// box sent the append, if the record is its own; the box's lease runs from then on.
    /// `pause_allowance_ms` is how long a paused holder may take to notice that its lease
    /// has expired.
    pub fn fold(
        &mut self,
        offset: u64,
        record: LeaseRecord,
        me: &BoxIncarnation,
        appended_at_ms: Option<u64>,
        now_ms: u64,
        pause_allowance_ms: u64,
    ) {
        let previous = self.fold.current.clone();
        if !self.fold.fold(offset, record.clone()) {
            return;
        }
        self.seen_at_ms = now_ms;
        let renewed = previous
            .as_ref()
            .is_some_and(|(_, old)| old.by == record.by);
        match appended_at_ms {
            Some(sent_ms) if record.by == *me => {
                self.held_until_ms = sent_ms + record.term_ms.min(MAX_TERM_MS);
                self.held_fence = offset + 1;
                if !renewed {
                    let old_term_ms = previous.map_or(0, |(_, old)| old.term_ms);
                    let wait_ms = if old_term_ms == 0 {
                        0
                    } else {
                        old_term_ms + pause_allowance_ms
                    };
                    self.unfenced_from_ms = now_ms + wait_ms;
                }
            }
            _ => self.held_until_ms = 0,
        }
    }

    /// Ends the lease in force before its term is over: its holder is known not to act any more.
    pub fn end(&mut self) {
        self.fold.end();
        self.held_until_ms = 0;
    }

    /// Folds a record of another box, read at `now_ms`, that takes or renews the lease whether or
    /// not it follows the one in force.
    pub fn fold_unchained(&mut self, offset: u64, record: LeaseRecord, now_ms: u64) {
        self.fold.fold_unchained(offset, record);
        self.seen_at_ms = now_ms;
        self.held_until_ms = 0;
    }

    /// Decides what this box may do at `now_ms`. The holder renews the lease once half of
    /// its term has passed.
    pub fn step(&self, me: &BoxIncarnation, term_ms: u64, now_ms: u64) -> LeaseStep {
        let record = LeaseRecord {
            by: me.clone(),
            follows: self.fold.fence(),
            term_ms,
            era: SourceEra::UNKNOWN,
        };
        if now_ms < self.held_until_ms {
            let renew_at_ms = self.held_until_ms.saturating_sub(term_ms / 2);
            if now_ms >= renew_at_ms {
                return LeaseStep::Append(record);
            }
            return self.act(now_ms);
        }
        match &self.fold.current {
            Some((_, lease)) if now_ms < self.seen_at_ms + lease.term_ms => LeaseStep::Wait,
            _ => LeaseStep::Append(record),
        }
    }

    /// Returns the fencing token if an order may be sent now. Call it right before each
    /// order, so that a holder that was paused past its term sends none.
    pub fn may_act(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.held_until_ms).then_some(self.held_fence)
    }

    /// Returns the time until which this box may act as the holder.
    pub fn held_until_ms(&self) -> u64 {
        self.held_until_ms
    }

    /// Returns the state of the lease, folded from the log.
    pub fn lease(&self) -> &LeaseFold {
        &self.fold
    }

    fn act(&self, now_ms: u64) -> LeaseStep {
        LeaseStep::Act {
            fence: self.held_fence,
            unfenced_allowed: now_ms >= self.unfenced_from_ms,
        }
    }
}
