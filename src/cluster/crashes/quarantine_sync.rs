use {
    crate::{
        cluster::{BackendError, QuarantineRecords},
        gateway::Gateway,
        names::now_ms,
    },
    std::{sync::Arc, time::Duration},
};

/// How often is looked whether something has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How many records are written after one look, those of the most suspected requests
/// first: four a second from each daemon while upstreams end, less than half of the calls
/// that the platform takes from the daemons of each deployment that is designed for.
const MOST_WRITTEN: usize = 1;
/// The pause after a call that failed: daemons tell each other meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps requests under which upstreams ended where they outlive all daemons: writes those
/// of which this daemon saw an end, and reads along while it reads the shared source.
///
/// Without this each loss of all daemons cost three more upstreams for each such request,
/// and some for each daemon that it came to before they had told each other; and failure
/// domains that are cut off from each other did not know of each other's.
pub async fn sync_quarantine(gateway: Arc<Gateway>, records: Arc<dyn QuarantineRecords>) {
    tokio::join!(
        read_along(&gateway, &*records),
        write_changes(&gateway, &*records)
    );
}

async fn read_along(gateway: &Gateway, records: &dyn QuarantineRecords) {
    let mut position = None;
    loop {
        gateway.until_reading_source().await;
        if let Err(e) = read_page(gateway, records, &mut position).await {
            log::info!(target: "crash", "held requests not read. error=\"{e}\"");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn read_page(
    gateway: &Gateway,
    records: &dyn QuarantineRecords,
    position: &mut Option<u64>,
) -> Result<(), BackendError> {
    let page = records.read_from(*position).await?;
    for record in &page.records {
        let is_outdated = gateway.crashes.lock().is_outdated(record);
        if is_outdated && !record.ends.is_empty() {
            let mut dropped = record.clone();
            dropped.ends.clear();
            records.write(&dropped, now_ms()).await?;
            continue;
        }
        gateway.apply_written(record);
    }
    *position = Some(page.next);
    Ok(())
}

async fn write_changes(gateway: &Gateway, records: &dyn QuarantineRecords) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Err(e) = write_due(gateway, records).await {
            log::info!(target: "crash", "held request not written. error=\"{e}\"");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn write_due(gateway: &Gateway, records: &dyn QuarantineRecords) -> Result<(), BackendError> {
    let now = gateway.steady_ms();
    let due = gateway.crashes.lock().to_write(MOST_WRITTEN, now);
    for record in due {
        records.write(&record, now_ms()).await?;
        gateway.crashes.lock().record_written(&record);
    }
    Ok(())
}
