use {
    crate::policy::{AccountCounts, BoxIncarnation, LeaseRecord, LeaseStep, LeaseView},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Number of windows whose reports are remembered.
const MAX_REPORTS: usize = 64;

/// A record of the duties topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DutyRecord {
    /// Takes or renews the lease.
    Lease(LeaseRecord),
    /// Announces the contents of a window's usage report before the report is sent.
    Usage(UsageRecord),
}

/// The contents of a window's usage report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The holder of the duties that will send the report.
    pub by: BoxIncarnation,
    /// The time window.
    pub window: u64,
    /// The counts to report.
    pub counts: AccountCounts,
}

/// One daemon's view of the duties topic. Times are milliseconds of the daemon's
/// monotonic clock.
#[derive(Clone, Debug)]
pub struct DutyLog {
    me: BoxIncarnation,
    term_ms: u64,
    view: LeaseView,
    /// The counts to report, by window.
    reports: BTreeMap<u64, AccountCounts>,
    /// The lease record that was sent last: the fencing token that it follows, and when
    /// it was first sent.
    sent: Option<(u64, u64)>,
    /// The offset of the next record.
    next: u64,
}

impl DutyLog {
    /// Creates a view of an unread topic.
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

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Continues at an offset: the records before it have been removed from the topic.
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

    /// Skips an unreadable record.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    fn fold_lease(&mut self, offset: u64, lease: LeaseRecord, now_ms: u64) {
        let sent = self.sent.filter(|(follows, _)| *follows == lease.follows);
        let sent_ms = sent.map(|(_, at_ms)| at_ms);
        self.view.fold(offset, lease, &self.me, sent_ms, now_ms, 0);
    }

    /// Only the first report of a window counts, and only if its sender holds the lease
    /// at that point of the log.
    fn fold_usage(&mut self, usage: UsageRecord) {
        let holder = self.view.lease().current.as_ref();
        if holder.is_none_or(|(_, lease)| lease.by != usage.by) {
            return;
        }
        self.reports.entry(usage.window).or_insert(usage.counts);
        while self.reports.len() > MAX_REPORTS {
            self.reports.pop_first();
        }
    }

    /// Decides what this daemon may do at `now_ms`.
    pub fn step(&self, now_ms: u64) -> LeaseStep {
        self.view.step(&self.me, self.term_ms, now_ms)
    }

    /// Returns the record by which the holder releases the lease: a lease that expires at
    /// once, so that a successor need not wait for the end of the term.
    pub fn release(&self, now_ms: u64) -> Option<LeaseRecord> {
        self.view.may_act(now_ms)?;
        Some(LeaseRecord {
            by: self.me.clone(),
            follows: self.view.lease().fence(),
            term_ms: 0,
        })
    }

    /// Records that a lease record is sent. Call it before each try.
    pub fn record_sent(&mut self, lease: &LeaseRecord, now_ms: u64) {
        let is_retry = self
            .sent
            .is_some_and(|(follows, _)| follows == lease.follows);
        // The first try may be the one that was appended, so the term counts from it.
        if !is_retry {
            self.sent = Some((lease.follows, now_ms));
        }
    }

    /// Returns the fencing token if a call that takes up to `call_ms` ends while the lease
    /// is held.
    pub fn fence_for(&self, call_ms: u64, now_ms: u64) -> Option<u64> {
        self.view.may_act(now_ms + call_ms)?;
        Some(self.view.lease().tenure)
    }

    /// Returns the counts that a window's report must have, if they were announced.
    pub fn report(&self, window: u64) -> Option<&AccountCounts> {
        self.reports.get(&window)
    }

    /// Returns the record that announces a window's report.
    pub fn usage_record(&self, window: u64, counts: AccountCounts) -> DutyRecord {
        DutyRecord::Usage(UsageRecord {
            by: self.me.clone(),
            window,
            counts,
        })
    }
}
