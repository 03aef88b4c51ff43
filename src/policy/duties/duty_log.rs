use {
    super::{
        DutyRecord, RestoredRecord, TopicAppend, UsageRecord,
        duty_topic::{DutyTopic, MAX_REPORTS},
        topic_restoration::TopicRestoration,
    },
    crate::{
        names::SourceEra,
        policy::{AccountCounts, BoxIncarnation, LeaseRecord, LeaseStep},
    },
    std::collections::BTreeMap,
};

/// One daemon's view of the duties topic. Times are milliseconds of the daemon's
/// monotonic clock, or Unix milliseconds where they are named so.
///
/// The log of the topic may return from an older copy. Its offsets, and with them the fencing
/// tokens and the positions of its readers, count only within an era of the log. In a new
/// era the log is read again from its first record, and nobody takes the lease until one
/// daemon has continued the topic by what it knows of the records that are lost.
#[derive(Clone, Debug)]
pub struct DutyLog {
    me: BoxIncarnation,
    term_ms: u64,
    /// The era in which `topic` was read.
    era: SourceEra,
    topic: DutyTopic,
    /// Set while the log has returned from a copy and nobody has continued the topic.
    restoration: Option<TopicRestoration>,
    /// The era in which the log has returned from a copy at the latest, as other daemons know;
    /// unknown if they know of none.
    announced_restore: SourceEra,
    /// Counts that were announced in earlier eras, by window.
    vouched: BTreeMap<u64, AccountCounts>,
}

impl DutyLog {
    /// Creates a view of an unread topic.
    pub fn new(me: BoxIncarnation, term_ms: u64) -> Self {
        Self {
            me,
            term_ms,
            era: SourceEra::default(),
            topic: DutyTopic::default(),
            restoration: None,
            announced_restore: SourceEra::UNKNOWN,
            vouched: BTreeMap::new(),
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.topic.next()
    }

    /// Returns the era of the log by which the topic was read.
    pub fn era(&self) -> SourceEra {
        self.era
    }

    /// Returns true while the log has returned from a copy and nobody has continued the topic.
    pub fn is_restoring(&self) -> bool {
        self.restoration.is_some()
    }

    /// Applies the era of an answer of the log. Returns false if the log has returned from a
    /// copy since the topic was read: the topic then has to be read from its first record.
    pub fn enter_era(&mut self, era: SourceEra, now_ms: u64, unix_ms: u64) -> bool {
        if !era.follows_restore(self.era) {
            self.era = self.era.max(era);
            return true;
        }
        self.era = era;
        self.begin_restoration(now_ms, unix_ms);
        false
    }

    /// Records that other daemons know that the log has returned from a copy, in an era at the
    /// latest.
    pub fn record_announced_restore(&mut self, era: SourceEra) {
        self.announced_restore = self.announced_restore.max(era);
    }

    /// Applies that the log has no record at the offset of the next one, although the topic was
    /// read up to it. The log has returned from a copy without naming an era, and the topic has
    /// to be read from its first record.
    pub fn restart(&mut self, now_ms: u64, unix_ms: u64) {
        self.begin_restoration(now_ms, unix_ms);
    }

    fn begin_restoration(&mut self, now_ms: u64, unix_ms: u64) {
        let former = std::mem::take(&mut self.topic);
        match &mut self.restoration {
            Some(restoration) => {
                vouch(&mut self.vouched, former.reports());
                restoration.restart(now_ms, unix_ms);
            }
            None => {
                let restoration = TopicRestoration::new(former, now_ms, unix_ms);
                self.restoration = Some(restoration);
            }
        }
    }

    /// Continues at an offset: the records before it have been removed from the topic.
    pub fn skip_to(&mut self, offset: u64) {
        self.topic.skip_to(offset);
    }

    /// Folds a record that was read or appended at `now_ms`. One that names an era which the log has not
    /// reached is from another writer, and skipped: leases of the log's era would count as outdated.
    pub fn fold(&mut self, offset: u64, record: DutyRecord, now_ms: u64) {
        let is_ahead = self.era.is_known() && record.era() > self.era;
        let record = (!is_ahead).then_some(record);
        self.topic.fold(offset, record, &self.me, now_ms);
    }

    /// Skips a record that is unreadable or has no contents.
    pub fn skip(&mut self, offset: u64) {
        self.topic.fold(offset, None, &self.me, 0);
    }

    /// Records that the topic was read up to its end.
    pub fn record_read(&mut self, now_ms: u64, unix_ms: u64) {
        let newest_era = self.topic.newest_era();
        let is_continued = newest_era >= self.era;
        let lacks_era = newest_era < self.era_to_name();
        if self.restoration.is_none() && lacks_era {
            // The log was restored from an older copy, or may have been, before this daemon read it.
            let read = self.topic.clone();
            let restoration = TopicRestoration::new(read, now_ms, unix_ms);
            self.restoration = Some(restoration);
        }
        let Some(restoration) = &mut self.restoration else {
            return;
        };
        restoration.record_read(self.topic.next(), now_ms);
        if is_continued {
            self.end_restoration();
        }
    }

    /// Returns the era that the topic has to name. If it names an earlier one, its log was restored from
    /// an older copy.
    fn era_to_name(&self) -> SourceEra {
        // A new topic looks like one of which the copy has no record. Only in the first era can no
        // record be missing.
        let may_lack_all = self.topic.is_empty() && self.era > SourceEra::FIRST;
        if may_lack_all || self.topic.newest_era().is_known() {
            return self.era;
        }
        // Builds that know of no eras write records without one, so the topic doesn't show its era.
        self.announced_restore
    }

    fn end_restoration(&mut self) {
        let Some(restoration) = self.restoration.take() else {
            return;
        };
        let memory = restoration.into_memory();
        vouch(&mut self.vouched, memory.reports());
        self.topic.continue_lease_of(memory);
    }

    /// Returns when the return of the log from a copy was noticed, in Unix milliseconds, if
    /// nobody has continued the topic since.
    pub fn restore_noticed_unix_ms(&self) -> Option<u64> {
        self.restoration.as_ref().map(|r| r.noticed_unix_ms())
    }

    /// Returns the records by which this daemon continues the topic after the log returned from
    /// a copy, if it may do so now. If this daemon does not hold the lease, windows before
    /// `first_window` may have been reported without its knowledge.
    pub fn restoration(&self, first_window: u64, now_ms: u64) -> Option<TopicAppend> {
        let restored = RestoredRecord {
            by: self.me.clone(),
            era: self.era,
            holds_lease: false,
            first_window,
        };
        let restoration = self.restoration.as_ref()?;
        restoration.append(&self.topic, self.term_ms, now_ms, restored)
    }

    /// Decides what this daemon may do at `now_ms`.
    pub fn step(&self, now_ms: u64) -> LeaseStep {
        if self.is_restoring() {
            return LeaseStep::Wait;
        }
        match self.topic.view().step(&self.me, self.term_ms, now_ms) {
            LeaseStep::Append(lease) => LeaseStep::Append(LeaseRecord {
                era: self.era,
                ..lease
            }),
            step => step,
        }
    }

    /// Returns the record by which the holder releases the lease: a lease that expires at
    /// once, so that a successor need not wait for the end of the term.
    pub fn release(&self, now_ms: u64) -> Option<LeaseRecord> {
        if self.is_restoring() {
            return None;
        }
        self.topic.view().may_act(now_ms)?;
        Some(LeaseRecord {
            by: self.me.clone(),
            follows: self.topic.view().lease().fence(),
            term_ms: 0,
            era: self.era,
        })
    }

    /// Records that a lease record is sent. Call it before each try.
    pub fn record_sent(&mut self, lease: &LeaseRecord, now_ms: u64) {
        self.topic.record_sent(lease, now_ms);
    }

    /// Returns the fencing token if a call that takes up to `call_ms` ends while the lease
    /// is held.
    pub fn fence_for(&self, call_ms: u64, now_ms: u64) -> Option<u64> {
        let until_ms = now_ms + call_ms;
        if let Some(restoration) = &self.restoration {
            return restoration.fence_until(&self.topic, until_ms);
        }
        self.topic.view().may_act(until_ms)?;
        Some(self.topic.view().lease().tenure)
    }

    /// Returns the counts that a window's report must have, if they were announced.
    pub fn report(&self, window: u64) -> Option<&AccountCounts> {
        self.topic.reports().get(&window)
    }

    /// Returns the counts that were announced for a window by a record that the log has lost.
    pub fn vouched_report(&self, window: u64) -> Option<&AccountCounts> {
        self.vouched.get(&window)
    }

    /// Returns true if no earlier report of a window can have had other counts: its counts are
    /// known, or no daemon can have announced any in a record that the log has lost.
    pub fn may_report(&self, window: u64) -> bool {
        let is_known = self.report(window).is_some() || self.vouched_report(window).is_some();
        is_known || window >= self.topic.first_reportable()
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

fn vouch(vouched: &mut BTreeMap<u64, AccountCounts>, reports: &BTreeMap<u64, AccountCounts>) {
    for (window, counts) in reports {
        vouched.entry(*window).or_insert_with(|| counts.clone());
    }
    while vouched.len() > MAX_REPORTS {
        vouched.pop_first();
    }
}
