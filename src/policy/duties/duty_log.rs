use {
    crate::policy::{AccountCounts, BoxIncarnation, LeaseRecord, LeaseStep, LeaseView},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How many windows' reports are remembered.
const KEPT_REPORTS: usize = 64;

/// A record of the duties' topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DutyRecord {
    /// Takes or renews the lease.
    Lease(LeaseRecord),
    /// Says what a window's usage report will be, before it is sent.
    Usage(UsageRecord),
}

/// What a window's usage report will be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Who will send it.
    pub by: BoxIncarnation,
    /// The window.
    pub window: u64,
    /// The counts.
    pub counts: AccountCounts,
}

/// One daemon's view of the duties' topic. Times are milliseconds of its
/// steady clock.
#[derive(Clone, Debug)]
pub struct DutyLog {
    me: BoxIncarnation,
    term_ms: u64,
    view: LeaseView,
    reports: BTreeMap<u64, AccountCounts>,
    /// The lease record that was sent last: what it follows, and when.
    sent: Option<(u64, u64)>,
    /// The offset of the next record.
    next: u64,
}

impl DutyLog {
    /// Starts with nothing read.
    pub fn new(me: BoxIncarnation, term_ms: u64) -> Self {
        Self {
            me,
            term_ms,
            view: LeaseView::default(),
            reports: BTreeMap::new(),
            sent: None,
            next: 0,
        }
    }

    /// Returns the offset to read from, which is the end of what was read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Goes on from an offset: the records before it are gone.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Folds a record that was read or appended at `now_ms`.
    pub fn fold(&mut self, offset: u64, record: DutyRecord, now_ms: u64) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        match record {
            DutyRecord::Lease(lease) => self.fold_lease(offset, lease, now_ms),
            DutyRecord::Usage(usage) => self.fold_usage(usage),
        }
    }

    /// Notes an unreadable record.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    fn fold_lease(&mut self, offset: u64, lease: LeaseRecord, now_ms: u64) {
        let sent = self.sent.filter(|(follows, _)| *follows == lease.follows);
        let sent_ms = sent.map(|(_, at_ms)| at_ms);
        self.view.fold(offset, lease, &self.me, sent_ms, now_ms, 0);
    }

    /// The first report of a window by the holder of its time counts.
    fn fold_usage(&mut self, usage: UsageRecord) {
        let holder = self.view.lease().current.as_ref();
        if holder.is_none_or(|(_, lease)| lease.by != usage.by) {
            return;
        }
        self.reports.entry(usage.window).or_insert(usage.counts);
        while self.reports.len() > KEPT_REPORTS {
            self.reports.pop_first();
        }
    }

    /// Decides what to do about the lease.
    pub fn step(&self, now_ms: u64) -> LeaseStep {
        self.view.step(&self.me, self.term_ms, now_ms)
    }

    /// Returns the record by which the holder gives the lease back: one that is over as
    /// soon as it is taken. A successor need not wait for the term's end.
    pub fn release(&self, now_ms: u64) -> Option<LeaseRecord> {
        self.view.may_act(now_ms)?;
        Some(LeaseRecord {
            by: self.me.clone(),
            follows: self.view.lease().fence(),
            term_ms: 0,
        })
    }

    /// Notes that a lease record is sent.
    pub fn record_sent(&mut self, lease: &LeaseRecord, now_ms: u64) {
        let again = self
            .sent
            .is_some_and(|(follows, _)| follows == lease.follows);
        // The first try may be the one that was taken.
        if !again {
            self.sent = Some((lease.follows, now_ms));
        }
    }

    /// Returns the fencing token, if a call that takes up to `call_ms` ends
    /// while the lease is held.
    pub fn fence_for(&self, call_ms: u64, now_ms: u64) -> Option<u64> {
        self.view.may_act(now_ms + call_ms)?;
        Some(self.view.lease().tenure)
    }

    /// Returns what a window's report must be, if it was said.
    pub fn report(&self, window: u64) -> Option<&AccountCounts> {
        self.reports.get(&window)
    }

    /// Makes the record that says what a window's report will be.
    pub fn usage_record(&self, window: u64, counts: AccountCounts) -> DutyRecord {
        DutyRecord::Usage(UsageRecord {
            by: self.me.clone(),
            window,
            counts,
        })
    }
}
