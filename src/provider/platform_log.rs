use {super::PlatformError, async_trait::async_trait, serde::Deserialize};

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogEntry {
    /// The offset of the record.
    pub offset: u64,
    /// The appended data.
    pub data: String,
}

/// A range of records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LogPage {
    /// The lowest offset that the log still retains.
    pub first: u64,
    /// The offset of the next append.
    pub next: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<LogEntry>,
}

/// The platform's append-only log.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotAccepted`] if the record is certainly not in the log; after any
    /// other error it may be.
    async fn append(&self, stream: &str, data: String) -> Result<u64, PlatformError>;

    /// Reads the records from an offset on; waits up to `wait_ms` if there are none yet.
    ///
    /// # Errors
    ///
    /// Returns how the read failed.
    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<LogPage, PlatformError>;
}
