use {
    crate::policy::BoxIncarnation,
    serde::{Deserialize, Serialize},
};

/// A record of a failure domain's `duties` stream: takes or renews the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who takes the lease.
    pub by: BoxIncarnation,
    /// The offset, plus one, of the lease that this one follows; 0 for none.
    pub follows: u64,
    /// How long the lease lasts, in milliseconds.
    pub term_ms: u64,
}

/// The lease as the log's records give it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseFold {
    /// The lease in force and its fencing token (its offset, plus one).
    pub current: Option<(u64, LeaseRecord)>,
    /// The fencing token with which the present holder took the lease; stays
    /// the same while it renews.
    pub tenure: u64,
    next: u64,
}

impl LeaseFold {
    /// Folds a record; it counts only if it follows the lease in force.
    pub fn fold(&mut self, offset: u64, record: LeaseRecord) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        // What the first record that is left follows is no longer there.
        let is_oldest_left = self.current.is_none() && record.follows > 0;
        if record.follows != self.fence() && !is_oldest_left {
            return false;
        }
        let renewed = self
            .current
            .as_ref()
            .is_some_and(|(_, old)| old.by == record.by);
        if !renewed {
            self.tenure = offset + 1;
        }
        self.current = Some((offset + 1, record));
        true
    }

    /// Returns the fencing token of the lease in force, 0 for none.
    pub fn fence(&self) -> u64 {
        self.current.as_ref().map_or(0, |(fence, _)| *fence)
    }
}

/// One box's view of a lease, with times of its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    fold: LeaseFold,
    /// When this box last saw the lease change.
    seen_at_ms: u64,
    /// Until when this box may act as the holder.
    held_until_ms: u64,
    held_fence: u64,
    /// From when a new holder may order from upstreams that check no fence.
    settled_at_ms: u64,
}

/// What a box may do about a duty now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Act as the holder; orders carry this fencing token.
    Act {
        /// The fencing token.
        fence: u64,
        /// Whether upstreams that check no fence may be ordered too.
        settled: bool,
    },
    /// Append this record to take or renew the lease.
    Append(LeaseRecord),
    /// Wait.
    Wait,
}

impl LeaseView {
    /// Folds a record that was read at `now_ms`. `appended_at_ms` is when this
    /// box sent the append, if the record is its own.
    pub fn fold(
        &mut self,
        offset: u64,
        record: LeaseRecord,
        me: &BoxIncarnation,
        appended_at_ms: Option<u64>,
        now_ms: u64,
        pause_allowance_ms: u64,
    ) {
        let before = self.fold.current.clone();
        if !self.fold.fold(offset, record.clone()) {
            return;
        }
        self.seen_at_ms = now_ms;
        let renewed = before.as_ref().is_some_and(|(_, old)| old.by == record.by);
        match appended_at_ms {
            Some(sent) if record.by == *me => {
                self.held_until_ms = sent + record.term_ms;
                self.held_fence = offset + 1;
                if !renewed {
                    let old_term = before.map_or(0, |(_, old)| old.term_ms);
                    let wait = if old_term == 0 {
                        0
                    } else {
                        old_term + pause_allowance_ms
                    };
                    self.settled_at_ms = now_ms + wait;
                }
            }
            _ => self.held_until_ms = 0,
        }
    }

    /// Decides what this box may do at `now_ms`, by its monotonic clock.
    pub fn step(&self, me: &BoxIncarnation, term_ms: u64, now_ms: u64) -> LeaseStep {
        let record = LeaseRecord {
            by: me.clone(),
            follows: self.fold.fence(),
            term_ms,
        };
        if now_ms < self.held_until_ms {
            let renew_at = self.held_until_ms.saturating_sub(term_ms / 2);
            if now_ms >= renew_at {
                return LeaseStep::Append(record);
            }
            return self.act(now_ms);
        }
        match &self.fold.current {
            Some((_, lease)) if now_ms < self.seen_at_ms + lease.term_ms => LeaseStep::Wait,
            _ => LeaseStep::Append(record),
        }
    }

    /// Returns whether an order may leave now, with its fencing token: asked
    /// again right before each order, so that a paused holder orders nothing.
    pub fn may_act(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.held_until_ms).then_some(self.held_fence)
    }

    /// Returns until when this box may act as the holder.
    pub fn held_until_ms(&self) -> u64 {
        self.held_until_ms
    }

    /// Returns the lease as the records give it.
    pub fn lease(&self) -> &LeaseFold {
        &self.fold
    }

    fn act(&self, now_ms: u64) -> LeaseStep {
        LeaseStep::Act {
            fence: self.held_fence,
            settled: now_ms >= self.settled_at_ms,
        }
    }
}
