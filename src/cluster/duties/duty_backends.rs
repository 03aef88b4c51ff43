use {
    crate::{
        names::{BoxId, FailureDomain, ServiceName, SourceEra, SourcePosition},
        policy::{AccountCounts, PartRecord, SuspectRecord},
        rollouts::Rollout,
    },
    async_trait::async_trait,
    bytes::Bytes,
    displaydoc::Display,
};

/// Error of a call to a shared log or to an API that duties use.
#[derive(Clone, Debug, Display, thiserror::Error)]
pub enum BackendError {
    /// the call had no effect: {0}
    NotDone(String),
    /// the outcome of the call is unknown: {0}
    Unknown(String),
}

/// Consecutive records of a topic.
#[derive(Clone, Debug, Default)]
pub struct TopicPage {
    /// The era of the log in which the offsets count.
    pub era: SourceEra,
    /// The offset of the first record that the log still retains.
    pub first: u64,
    /// The offset of the first record in `records`.
    pub from: u64,
    /// The offset at which the topic ends. A long topic is read in several pages.
    pub end: u64,
    /// The records, in offset order.
    pub records: Vec<Bytes>,
}

/// The outcome of a conditional append, in the era of the log that decided on it. If that is not
/// the era in which the offset was read, the offset was given out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records were appended.
    Taken(SourceEra),
    /// The topic ends at another offset. Nothing was appended.
    Conflict(SourceEra),
}

/// A log that all daemons share and that outlives them.
#[async_trait]
pub trait SharedLog: Send + Sync {
    /// Returns the newest era that any answer of the log has named.
    fn era(&self) -> SourceEra;

    /// Reads a topic from an offset, or from its first retained record if the log does not have
    /// that offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the read failed.
    async fn read(&self, topic: &str, from: u64) -> Result<TopicPage, BackendError>;

    /// Appends all records if the topic ends at the offset `end`.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::Unknown`] if the records may be in the topic, or may still be
    /// appended later.
    async fn append_at(
        &self,
        topic: &str,
        end: u64,
        records: &[Bytes],
    ) -> Result<AppendOutcome, BackendError>;

    /// Appends all records wherever the topic ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the records may not be in the topic.
    async fn append(&self, topic: &str, records: &[Bytes]) -> Result<(), BackendError>;
}

/// The outcome of writing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record was written.
    Taken,
    /// The record was not written: the store expects this number next.
    Renumber(u64),
}

/// Store of the status of rollouts, which the operator reads. It outlives daemons.
#[async_trait]
pub trait RolloutStatusStore: Send + Sync {
    /// Makes the holder of `fence` the only writer. From then on the store refuses writes
    /// with earlier fencing tokens, including those that are still in transit.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    async fn take_over(&self, fence: u64) -> Result<(), BackendError>;

    /// Reads the status that was last written for each service's rollout.
    ///
    /// # Errors
    ///
    /// Returns an error if the read failed.
    async fn read(&self) -> Result<Vec<Rollout>, BackendError>;

    /// Writes the status of a rollout, unless a daemon with a later fencing token has
    /// written. The records of one fencing token are numbered from 1. A record that is
    /// written again under the same number counts once.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed.
    async fn write(
        &self,
        rollout: &Rollout,
        fence: u64,
        number: u64,
    ) -> Result<WriteOutcome, BackendError>;
}

/// Records of requests under which upstreams crashed, from a position on.
#[derive(Clone, Debug, Default)]
pub struct QuarantinePage {
    /// The records. A record without `ends` is of a request that was cleared, or whose
    /// record was dropped.
    pub records: Vec<SuspectRecord>,
    /// The records of parts of prompts. A record without crashes is of a part that was cleared, or
    /// whose record was dropped.
    pub part_records: Vec<PartRecord>,
    /// The position at which the next page begins.
    pub next: SourcePosition,
}

/// Store of the requests under which upstreams crashed. It outlives daemons.
#[async_trait]
pub trait QuarantineRecords: Send + Sync {
    /// Reads the records from a position on, or all stored records without one. Waits for a
    /// limited time if there is no record yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the read failed.
    async fn read_from(&self, from: Option<SourcePosition>)
    -> Result<QuarantinePage, BackendError>;

    /// Writes the crashes under a request, replacing its earlier record. A record without
    /// `ends` is deleted. `unix_ms` is the current time.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed.
    async fn write(&self, record: &SuspectRecord, unix_ms: u64) -> Result<(), BackendError>;

    /// Writes the crashes under a part of prompts, replacing its earlier record. A record without
    /// crashes is deleted. `unix_ms` is the current time.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed.
    async fn write_part(&self, record: &PartRecord, unix_ms: u64) -> Result<(), BackendError>;
}

/// Identifies the holder of the lease on whose behalf a duty call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyClaim {
    /// The box of the daemon that holds the lease.
    pub holder: BoxId,
    /// The fencing token of the lease.
    pub fence: u64,
}

/// An order that sets the number of a service's upstreams of one kind in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetOrder {
    /// The service whose upstreams are ordered.
    pub service: ServiceName,
    /// The failure domain of the upstreams.
    pub domain: FailureDomain,
    /// True for reclaimable upstreams, which the provider may take away; false for
    /// on-demand ones.
    pub reclaimable: bool,
    /// The number of such upstreams that there shall be.
    pub count: u32,
}

/// The outcome of a fleet order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was accepted.
    Taken,
    /// No such upstreams are available in the failure domain now.
    NoneLeft,
}

/// API that the holder of the duties calls to report usage and to order upstreams.
#[async_trait]
pub trait DutyApi: Send + Sync {
    /// Reports the usage counts of a window.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    async fn report_usage(
        &self,
        claim: &DutyClaim,
        window: u64,
        counts: &AccountCounts,
    ) -> Result<(), BackendError>;

    /// Places an order for upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    async fn order(
        &self,
        claim: &DutyClaim,
        order: &FleetOrder,
    ) -> Result<OrderOutcome, BackendError>;
}
