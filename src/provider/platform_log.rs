use {super::PlatformError, async_trait::async_trait, serde::Deserialize};

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogEntry {
    /// Its offset.
    pub offset: u64,
    /// What was appended.
    pub data: String,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LogPage {
    /// The lowest offset that retention has left.
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
    /// [`PlatformError::NotAccepted`] if it is certainly not in the log; else it may be.
    async fn append(&self, stream: &str, data: String) -> Result<u64, PlatformError>;

    /// Reads from an offset, and waits up to `wait_ms` for a record.
    ///
    /// # Errors
    ///
    /// Returns how the read failed.
    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<LogPage, PlatformError>;
}
