use {
    super::duty_topic::DutyTopic,
    crate::{
        names::SourceEra,
        policy::{DutyRecord, RestoredRecord},
    },
};

/// Number of offsets that are skipped for each return of the log since the newest era that the
/// copy names: more than a holder uses in the seconds that a copy lacks. All boxes that continue
/// from a copy in an era skip the same ones, and in a later era more of them. So no fencing token
/// is given out twice, not even if what another box appended since is lost with the next copy.
const SKIPPED_PER_ERA: u64 = 256;
/// Maximum number of returns of the log for which offsets are skipped, so that the skipped ones
/// fit into one call.
const MAX_ERAS: u64 = 128;

/// Records to append in one call.
#[derive(Clone, Debug, PartialEq)]
pub struct TopicAppend {
    /// The offset at which the topic has to end.
    pub at: u64,
    /// The records; `None` stands for a record without contents.
    pub records: Vec<Option<DutyRecord>>,
}

/// What a box knows of the topic from before its log returned from an older copy, until one
/// box has continued the topic. Times are milliseconds of the box's monotonic clock.
///
/// The holder of the lease continues it at once: it knows all records, and all that follows
/// from them stays as it was. Any other box waits for a term in which nothing is appended,
/// as the holder may live, and leaves out the offsets of records that it may not have seen.
#[derive(Clone, Debug)]
pub(super) struct TopicRestoration {
    memory: DutyTopic,
    /// The greatest end of the topic that this box has seen, in any era since then.
    known_end: u64,
    noticed_unix_ms: u64,
    /// The end of the log as read last in the present era; none if it has not been read.
    log_end: Option<u64>,
    /// Since when nothing is known to have been appended.
    quiet_since_ms: u64,
}

impl TopicRestoration {
    /// Begins with what was read of the topic in an earlier era of the log.
    pub(super) fn new(memory: DutyTopic, now_ms: u64, unix_ms: u64) -> Self {
        Self {
            known_end: memory.next(),
            memory,
            noticed_unix_ms: unix_ms,
            log_end: None,
            quiet_since_ms: now_ms,
        }
    }

    /// Starts over after the log has returned from another copy.
    pub(super) fn restart(&mut self, now_ms: u64, unix_ms: u64) {
        self.noticed_unix_ms = unix_ms;
        self.log_end = None;
        self.quiet_since_ms = now_ms;
    }

    /// Returns when the return of the log was noticed, in Unix milliseconds.
    pub(super) fn noticed_unix_ms(&self) -> u64 {
        self.noticed_unix_ms
    }

    /// Records a read of the log up to its end.
    pub(super) fn record_read(&mut self, end: u64, now_ms: u64) {
        if self.log_end.replace(end) != Some(end) {
            self.quiet_since_ms = now_ms;
        }
        self.known_end = self.known_end.max(end);
    }

    /// Returns the fencing token if this box holds the lease until `until_ms`, and nobody else
    /// has appended to the log since it returned.
    pub(super) fn fence_until(&self, log: &DutyTopic, until_ms: u64) -> Option<u64> {
        self.memory.view().may_act(until_ms)?;
        let is_own_log = self.log_end.is_none() || log.agrees_with(&self.memory);
        is_own_log.then(|| self.memory.view().lease().tenure)
    }

    /// Returns the records by which this box continues the topic, if it may do so now.
    /// `restored` ends them; a box that does not hold the lease states there which windows it
    /// knows nothing of.
    pub(super) fn append(
        &self,
        log: &DutyTopic,
        term_ms: u64,
        now_ms: u64,
        mut restored: RestoredRecord,
    ) -> Option<TopicAppend> {
        let at = self.log_end?;
        let end = match self.fence_until(log, now_ms) {
            Some(_) => {
                restored.holds_lease = true;
                restored.first_window = self.memory.first_reportable();
                self.memory.next().max(at)
            }
            None if now_ms < self.quiet_since_ms + self.longest_term_ms(term_ms) => return None,
            None => (at + skipped(log, restored.era)).max(self.known_end),
        };
        let is_own_log = log.agrees_with(&self.memory);
        let known = |offset| self.memory.record_at(offset).filter(|_| is_own_log);
        let mut records: Vec<_> = (at..end).map(|offset| known(offset).cloned()).collect();
        records.push(Some(DutyRecord::Restored(restored)));
        Some(TopicAppend { at, records })
    }

    fn longest_term_ms(&self, term_ms: u64) -> u64 {
        let known = self.memory.view().lease().current.as_ref();
        known.map_or(term_ms, |(_, lease)| lease.term_ms.max(term_ms))
    }

    /// Ends the restoration; returns what this box knew before.
    pub(super) fn into_memory(self) -> DutyTopic {
        self.memory
    }
}

/// Returns how many offsets may have been in use that the log lacks. A topic names no era if it is empty,
/// or if only builds that know of no eras have written to it. It then counts as older than all eras.
fn skipped(log: &DutyTopic, era: SourceEra) -> u64 {
    SKIPPED_PER_ERA * era.since(log.newest_era()).clamp(1, MAX_ERAS)
}
