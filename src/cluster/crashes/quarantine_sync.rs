use {
    crate::{
        cluster::{BackendError, QuarantineRecords},
        gateway::Gateway,
        names::{SourceEra, SourcePosition, now_ms},
        policy::PartRecord,
    },
    std::{sync::Arc, time::Duration},
};

/// Interval between checks for records that have to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of records written per check, those of the most suspected requests
/// first. This is four per second from each daemon while upstreams crash, which is less
/// than half of the calls that the platform accepts from the daemons of any deployment
/// that the design covers.
const MAX_WRITTEN: usize = 1;
/// Pause after a failed call. Daemons still announce crashes to each other during it.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Synchronizes the requests under which upstreams crashed with a store that outlives all
/// daemons. Writes the requests for which this daemon saw a crash, and reads the records of
/// other daemons while this daemon reads the shared source.
///
/// Without this, each such request cost three more upstreams after every loss of all
/// daemons, and further ones at each daemon that it reached before the daemons had
/// announced the crashes to each other. Failure domains that are partitioned from each
/// other did not know of each other's crashes.
pub async fn sync_quarantine(gateway: Arc<Gateway>, records: Arc<dyn QuarantineRecords>) {
    tokio::join!(
        read_records(&gateway, &*records),
        write_changes(&gateway, &*records)
    );
}

async fn read_records(gateway: &Gateway, records: &dyn QuarantineRecords) {
    let mut position = None;
    loop {
        gateway.until_reading_source().await;
        if let Err(e) = read_page(gateway, records, &mut position).await {
            log::info!(target: "crash", "quarantine records could not be read. error=\"{e}\"");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn read_page(
    gateway: &Gateway,
    records: &dyn QuarantineRecords,
    position: &mut Option<SourcePosition>,
) -> Result<(), BackendError> {
    let page = records.read_from(*position).await?;
    for record in &page.records {
        let is_outdated = gateway.crashes.lock().is_outdated(record);
        if is_outdated && !record.ends.is_empty() {
            let mut cleared = record.clone();
            cleared.ends.clear();
            records.write(&cleared, now_ms()).await?;
            continue;
        }
        gateway.apply_written(record);
    }
    for record in &page.part_records {
        apply_part_record(gateway, records, record).await?;
    }
    *position = Some(page.next);
    Ok(())
}

/// Applies the record of a part, or removes it from the store if it is outdated.
async fn apply_part_record(
    gateway: &Gateway,
    records: &dyn QuarantineRecords,
    record: &PartRecord,
) -> Result<(), BackendError> {
    let is_outdated = gateway.part_crashes.lock().is_outdated(record);
    if !is_outdated || record.crashes.is_empty() {
        gateway.apply_written_part(record);
        return Ok(());
    }
    let mut cleared = record.clone();
    cleared.crashes.clear();
    records.write_part(&cleared, now_ms()).await
}

async fn write_changes(gateway: &Gateway, records: &dyn QuarantineRecords) {
    let mut written_era = SourceEra::UNKNOWN;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let era = gateway.directory.read().era();
        if era.follows_restore(written_era) {
            log::info!(target: "crash", "quarantine records may be lost, writing them again. era={era}");
            gateway.crashes.lock().forget_written();
            gateway.part_crashes.lock().forget_written();
        }
        written_era = era;
        if let Err(e) = write_due(gateway, records).await {
            log::info!(target: "crash", "quarantine record could not be written. error=\"{e}\"");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn write_due(gateway: &Gateway, records: &dyn QuarantineRecords) -> Result<(), BackendError> {
    let now = gateway.steady_ms();
    let due_part = gateway.part_crashes.lock().to_write(now);
    if let Some(record) = due_part {
        records.write_part(&record, now_ms()).await?;
        gateway.part_crashes.lock().record_written(&record);
        return Ok(());
    }
    let due = gateway.crashes.lock().to_write(MAX_WRITTEN, now);
    for record in due {
        records.write(&record, now_ms()).await?;
        gateway.crashes.lock().record_written(&record);
    }
    Ok(())
}
