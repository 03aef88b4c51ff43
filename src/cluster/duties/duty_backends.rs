use {
    crate::{
        names::{BoxId, FailureDomain, ServiceName},
        policy::{AccountCounts, SuspectRecord},
        rollouts::Rollout,
    },
    async_trait::async_trait,
    bytes::Bytes,
    displaydoc::Display,
};

/// Why a call to a shared log or to an API that duties use failed.
#[derive(Clone, Debug, Display, thiserror::Error)]
pub enum BackendError {
    /// not done: {0}
    NotDone(String),
    /// may have been done: {0}
    Unknown(String),
}

/// A part of a topic.
#[derive(Clone, Debug, Default)]
pub struct TopicPage {
    /// The offset of the first record that is kept.
    pub first: u64,
    /// The offset of the first record here.
    pub from: u64,
    /// The records.
    pub records: Vec<Bytes>,
}

/// The outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the topic.
    Taken,
    /// The topic ends elsewhere; nothing was done.
    Conflict,
}

/// A log that all daemons share and that outlives them.
#[async_trait]
pub trait SharedLog: Send + Sync {
    /// Reads a topic from an offset, or from its first record if that is later.
    ///
    /// # Errors
    ///
    /// Returns how the read failed.
    async fn read(&self, topic: &str, from: u64) -> Result<TopicPage, BackendError>;

    /// Appends a record if the topic ends at an offset.
    ///
    /// # Errors
    ///
    /// [`BackendError::Unknown`] if it may be in the topic, or come into it later.
    async fn append_at(
        &self,
        topic: &str,
        end: u64,
        record: Bytes,
    ) -> Result<AppendOutcome, BackendError>;
}

/// The outcome of writing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is written.
    Taken,
    /// It is not: this number comes next.
    Renumber(u64),
}

/// Where the outcomes of roll-outs are written for the operator. It outlives daemons.
#[async_trait]
pub trait RolloutStatusStore: Send + Sync {
    /// Takes the board over: what daemons with earlier fences write from now on, or wrote
    /// and is still on its way, is refused.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn take_over(&self, fence: u64) -> Result<(), BackendError>;

    /// Reads what was written last of each service's roll-out.
    ///
    /// # Errors
    ///
    /// Returns how the read failed.
    async fn read(&self) -> Result<Vec<Rollout>, BackendError>;

    /// Writes how far a roll-out is, unless a daemon with a later fence has written. Records of one
    /// fence are numbered from 1; one that is written again under its number counts once.
    ///
    /// # Errors
    ///
    /// Returns how the write failed.
    async fn write(
        &self,
        rollout: &Rollout,
        fence: u64,
        number: u64,
    ) -> Result<WriteOutcome, BackendError>;
}

/// What was written of requests under which upstreams ended, from a position on.
#[derive(Clone, Debug, Default)]
pub struct QuarantinePage {
    /// The records. One without ends is of a request that is cleared, or dropped.
    pub records: Vec<SuspectRecord>,
    /// Where the next page begins.
    pub next: u64,
}

/// Where requests under which upstreams ended are kept. It outlives daemons.
#[async_trait]
pub trait QuarantineRecords: Send + Sync {
    /// Reads on from a position, or everything that is kept; waits a while for a record.
    ///
    /// # Errors
    ///
    /// Returns how the read failed.
    async fn read_from(&self, from: Option<u64>) -> Result<QuarantinePage, BackendError>;

    /// Writes the ends under a request, in place of what was written before; one without
    /// ends is dropped. `unix_ms` is the time.
    ///
    /// # Errors
    ///
    /// Returns how the write failed.
    async fn write(&self, record: &SuspectRecord, unix_ms: u64) -> Result<(), BackendError>;
}

/// In whose name a duty is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyClaim {
    /// The daemon.
    pub holder: BoxId,
    /// The fencing token.
    pub fence: u64,
}

/// An order for the number of a service's upstreams in a domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetOrder {
    /// The service.
    pub service: ServiceName,
    /// The domain.
    pub domain: FailureDomain,
    /// Whether upstreams are meant that may be taken away.
    pub reclaimable: bool,
    /// How many there shall be.
    pub count: u32,
}

/// The outcome of a fleet order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// No such upstreams are to be had there now.
    NoneLeft,
}

/// The API for duties that one daemon has at a time.
#[async_trait]
pub trait DutyApi: Send + Sync {
    /// Reports a window's usage.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn report_usage(
        &self,
        claim: &DutyClaim,
        window: u64,
        counts: &AccountCounts,
    ) -> Result<(), BackendError>;

    /// Orders upstreams.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    async fn order(
        &self,
        claim: &DutyClaim,
        order: &FleetOrder,
    ) -> Result<OrderOutcome, BackendError>;
}
