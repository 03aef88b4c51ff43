use {
    super::{BoxIncarnation, DutyRecord, LeaseRecord, LeaseView, UsageRecord},
    crate::{names::SourceEra, policy::AccountCounts},
    std::collections::BTreeMap,
};

/// Number of windows whose reports are remembered.
pub(super) const MAX_REPORTS: usize = 64;
/// Number of the newest records with contents that are remembered. A holder appends one or two
/// per second, and a copy from which the log returns is some seconds old.
const MAX_TAIL: usize = 256;

/// The duties topic as one box has folded it from the log, within one era of the log. Times
/// are milliseconds of the box's monotonic clock.
#[derive(Clone, Debug, Default)]
pub(super) struct DutyTopic {
    view: LeaseView,
    /// The counts to report, by window.
    reports: BTreeMap<u64, AccountCounts>,
    /// The lease record that was sent last: the fencing token that it follows, and when
    /// it was first sent.
    sent: Option<(u64, u64)>,
    /// The offset of the next record.
    next: u64,
    /// The newest records with contents, by offset.
    tail: BTreeMap<u64, DutyRecord>,
    /// The offset from which on all records with contents are in the tail.
    tail_from: u64,
    /// The newest era that a record names.
    newest_era: SourceEra,
    /// True if a box has continued the topic after its log returned from a copy.
    is_restored: bool,
    /// The first window that may be reported without a record that announces its counts.
    first_reportable: u64,
}

impl DutyTopic {
    /// Returns the offset of the next record to read.
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    /// Returns true if the topic has never had a record, as far as it shows.
    pub(super) fn is_empty(&self) -> bool {
        self.next == 0
    }

    /// Returns the state of the lease.
    pub(super) fn view(&self) -> &LeaseView {
        &self.view
    }

    /// Returns the announced counts, by window.
    pub(super) fn reports(&self) -> &BTreeMap<u64, AccountCounts> {
        &self.reports
    }

    /// Returns the newest era that a record names.
    pub(super) fn newest_era(&self) -> SourceEra {
        self.newest_era
    }

    /// Returns the first window that may be reported without a record that announces its
    /// counts.
    pub(super) fn first_reportable(&self) -> u64 {
        self.first_reportable
    }

    /// Continues at an offset: the records before it have been removed from the log.
    pub(super) fn skip_to(&mut self, offset: u64) {
        if offset > self.next {
            self.next = offset;
            self.tail_from = offset;
        }
    }

    /// Records when a lease record is first sent.
    pub(super) fn record_sent(&mut self, lease: &LeaseRecord, now_ms: u64) {
        let is_retry = self
            .sent
            .is_some_and(|(follows, _)| follows == lease.follows);
        // The first try may be the one that was appended, so the term counts from it.
        if !is_retry {
            self.sent = Some((lease.follows, now_ms));
        }
    }

    /// Folds a record that was read or appended at `now_ms`.
    pub(super) fn fold(
        &mut self,
        offset: u64,
        record: Option<DutyRecord>,
        me: &BoxIncarnation,
        now_ms: u64,
    ) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        let Some(record) = record else {
            return;
        };
        self.remember(offset, record.clone());
        match record {
            DutyRecord::Lease(lease) => self.fold_lease(offset, lease, me, now_ms),
            DutyRecord::Usage(usage) => self.fold_usage(usage),
            DutyRecord::Restored(restored) => {
                self.newest_era = self.newest_era.max(restored.era);
                self.is_restored = true;
                if !restored.holds_lease {
                    self.view.end();
                }
                self.first_reportable = self.first_reportable.max(restored.first_window);
            }
        }
    }

    fn remember(&mut self, offset: u64, record: DutyRecord) {
        self.tail.insert(offset, record);
        if self.tail.len() > MAX_TAIL
            && let Some((oldest, _)) = self.tail.pop_first()
        {
            self.tail_from = oldest + 1;
        }
    }

    fn fold_lease(&mut self, offset: u64, lease: LeaseRecord, me: &BoxIncarnation, now_ms: u64) {
        // Appended by what its box knew of an earlier era: the fencing token that it follows
        // may have been given out again since.
        if lease.era.is_known() && lease.era < self.newest_era {
            return;
        }
        self.newest_era = self.newest_era.max(lease.era);
        if lease.era.is_unknown() && self.is_restored {
            // A build that knows of no eras may not have folded the records by which the topic was
            // continued. It takes its record for the one in force, so that all must.
            return self.view.fold_unchained(offset, lease, now_ms);
        }
        let sent = self.sent.filter(|(follows, _)| *follows == lease.follows);
        let sent_ms = sent.map(|(_, at_ms)| at_ms);
        self.view.fold(offset, lease, me, sent_ms, now_ms, 0);
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

    /// Returns false if the two topics have different records at an offset that both have
    /// folded and remember, so that neither continues the other.
    pub(super) fn agrees_with(&self, other: &Self) -> bool {
        let from = self.tail_from.max(other.tail_from);
        let end = self.next.min(other.next).max(from);
        self.tail.range(from..end).eq(other.tail.range(from..end))
    }

    /// Returns a record, or `None` if it has no contents or is not remembered.
    pub(super) fn record_at(&self, offset: u64) -> Option<&DutyRecord> {
        self.tail.get(&offset)
    }

    /// Takes over what a box knew of the lease before the log returned from a copy, if the
    /// same lease is in force now.
    pub(super) fn continue_lease_of(&mut self, former: Self) {
        self.first_reportable = self.first_reportable.max(former.first_reportable);
        if self.agrees_with(&former) && self.view.lease().is_same_lease(former.view.lease()) {
            self.view = former.view;
            self.sent = former.sent;
        }
    }
}
