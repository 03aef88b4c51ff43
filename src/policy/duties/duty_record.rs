use {
    crate::{
        names::SourceEra,
        policy::{AccountCounts, BoxIncarnation, LeaseRecord},
    },
    serde::{Deserialize, Serialize},
};

/// A record of the duties topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DutyRecord {
    /// Takes or renews the lease.
    Lease(LeaseRecord),
    /// Announces the contents of a window's usage report before the report is sent.
    Usage(UsageRecord),
    /// Continues the topic after its log returned from an older copy.
    Restored(RestoredRecord),
}

impl DutyRecord {
    /// Returns the era of the log that the record names; unknown if it names none.
    pub(super) fn era(&self) -> SourceEra {
        match self {
            Self::Lease(lease) => lease.era,
            Self::Restored(restored) => restored.era,
            Self::Usage(_) => SourceEra::UNKNOWN,
        }
    }
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

/// States that a box has appended again what it knows of the records that the log lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RestoredRecord {
    /// The box that continues the topic.
    pub by: BoxIncarnation,
    /// The era that the log is in since it returned.
    pub era: SourceEra,
    /// True if the box holds the lease, which goes on. Else the lease has ended, and whoever
    /// takes it gets a new fencing token.
    pub holds_lease: bool,
    /// Reports of windows before this one may have been announced by records that are lost.
    /// Those that no record of the topic announces are not sent, as their counts could differ.
    pub first_window: u64,
}
