use {
    crate::{
        cluster::{BackendError, OriginsPart, SharedLog},
        gateway::Gateway,
        names::SourceEra,
        policy::{AnnouncedOrigin, origin_write_interval},
    },
    bytes::Bytes,
    std::{
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Topic of the shared log that holds the versions which began streams.
const TOPIC: &str = "stream-origins";
/// Minimum time between two reads of the log, and between a failed one and the next.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time for which a request waits for a read.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);
/// Maximum age of a finished read that is used while a newer read takes longer than a request waits. The
/// streams that began since may be missing in it.
const MAX_READ_AGE: Duration = Duration::from_secs(2);

/// The versions that began streams, in a log that outlives all daemons.
pub struct OriginLog {
    log: Arc<dyn SharedLog>,
    reader: Arc<tokio::sync::Mutex<Reader>>,
    /// When the newest read began that has succeeded.
    newest_read: Arc<parking_lot::Mutex<Option<Instant>>>,
}

#[derive(Default)]
struct Reader {
    era: SourceEra,
    /// The offset of the next record to read.
    next: u64,
    /// When the last read began, and whether it succeeded.
    last_read: Option<(Instant, bool)>,
}

impl fmt::Debug for OriginLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OriginLog").finish_non_exhaustive()
    }
}

impl OriginLog {
    /// Creates the reader and writer of a shared log.
    pub fn new(log: Arc<dyn SharedLog>) -> Self {
        Self {
            log,
            reader: Arc::default(),
            newest_read: Arc::default(),
        }
    }

    /// Reads what was written before the call, and records it. Calls that wait at the same time share a read.
    /// Returns whether all was read. A read that takes longer than a request waits goes on for the
    /// next one; a recent read stands in for it.
    pub async fn read(&self, gateway: &Arc<Gateway>) -> bool {
        let read = tokio::spawn(read_since(
            self.log.clone(),
            self.reader.clone(),
            self.newest_read.clone(),
            gateway.clone(),
        ));
        match tokio::time::timeout(MAX_READ_WAIT, read).await {
            Ok(Ok(is_read)) => is_read,
            Ok(Err(e)) => {
                log::error!(target: "stream", "reading versions of streams ended early. error=\"{e}\"");
                false
            }
            Err(_) => {
                log::info!(target: "stream", "versions of streams could not be read in time.");
                let newest_read = *self.newest_read.lock();
                newest_read.is_some_and(|began_at| began_at.elapsed() <= MAX_READ_AGE)
            }
        }
    }

    async fn write(&self, origins: &[AnnouncedOrigin]) -> Result<(), BackendError> {
        let parts = OriginsPart::group(origins, false);
        let records = parts.iter().filter_map(|part| {
            let encoded = bincode::encode_to_vec(part, bincode::config::standard());
            encoded.ok().map(Bytes::from)
        });
        let records: Vec<Bytes> = records.collect();
        self.log.append(TOPIC, &records).await
    }
}

async fn read_since(
    log: Arc<dyn SharedLog>,
    reader: Arc<tokio::sync::Mutex<Reader>>,
    newest_read: Arc<parking_lot::Mutex<Option<Instant>>>,
    gateway: Arc<Gateway>,
) -> bool {
    let asked_at = Instant::now();
    let mut reader = reader.lock().await;
    if let Some((began_at, is_read)) = reader.last_read {
        let is_failure_recent = !is_read && began_at.elapsed() < MIN_READ_INTERVAL;
        if began_at >= asked_at || is_failure_recent {
            return is_read;
        }
        // A stream may have been written since that read began, so it does not show that nobody knows it.
        tokio::time::sleep_until((began_at + MIN_READ_INTERVAL).into()).await;
    }
    let began_at = Instant::now();
    let read = reader.read_all(&*log, &gateway).await;
    reader.last_read = Some((began_at, read.is_ok()));
    match read {
        Ok(()) => *newest_read.lock() = Some(began_at),
        Err(e) => {
            log::info!(target: "stream", "versions of streams could not be read. error=\"{e}\"");
            return false;
        }
    }
    true
}

impl Reader {
    async fn read_all(
        &mut self,
        log: &dyn SharedLog,
        gateway: &Gateway,
    ) -> Result<(), BackendError> {
        loop {
            let page = log.read(TOPIC, self.next).await?;
            if page.era != self.era && self.next > 0 {
                // Offsets of another era name other records.
                (self.era, self.next) = (page.era, 0);
                continue;
            }
            self.era = page.era;
            for record in &page.records {
                match OriginsPart::decode(record) {
                    Ok(part) => gateway.record_origins(&part),
                    Err(e) => {
                        log::info!(target: "stream", "malformed record of streams skipped. error=\"{e}\"");
                    }
                }
            }
            self.next = page.from + page.records.len() as u64;
            if page.records.is_empty() || self.next >= page.end {
                return Ok(());
            }
        }
    }
}

/// Writes origins of streams to the shared log, of this daemon and of those that announce theirs to it.
pub async fn write_origins(gateway: Arc<Gateway>, log: Arc<dyn SharedLog>) {
    let log = gateway.set_origin_log(OriginLog::new(log));
    loop {
        let hubs = gateway.other_hubs().len() + 1;
        tokio::time::sleep(origin_write_interval(hubs)).await;
        let due = gateway.take_origins_to_log();
        if due.is_empty() {
            continue;
        }
        if let Err(e) = log.write(&due).await {
            log::info!(target: "stream", "versions of streams could not be written. streams={} error=\"{e}\"", due.len());
            gateway.add_origins_to_log(due.iter().map(|o| o.key));
        }
    }
}
