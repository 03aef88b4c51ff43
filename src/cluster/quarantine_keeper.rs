use {
    super::{BorderError, QuarantineRecords},
    crate::{gateway::Gateway, names::now_ms},
    std::{sync::Arc, time::Duration},
};

/// How often is looked whether something has to be written.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// The pause after a call that failed: the requests are held back meanwhile, by what
/// daemons tell each other.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the requests that are held back where they outlive all daemons: reads them once,
/// when this daemon begins to read the shared source, and writes those of which it saw an
/// upstream end. Without this each loss of all daemons cost three more upstreams for each
/// such request, and some for each daemon that it came to before they had told each other.
pub async fn keep_quarantine(gateway: Arc<Gateway>, records: Arc<dyn QuarantineRecords>) {
    tokio::join!(
        read_when_reader(&gateway, &*records),
        write_held(&gateway, &*records)
    );
}

async fn read_when_reader(gateway: &Gateway, records: &dyn QuarantineRecords) {
    loop {
        gateway.until_reading_source().await;
        match records.read(now_ms()).await {
            Ok(ends) => return gateway.hear_written(&ends),
            Err(e) => {
                log::info!(target: "crash", "held requests not read. error=\"{e}\"");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn write_held(gateway: &Gateway, records: &dyn QuarantineRecords) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        if let Err(e) = write_due(gateway, records).await {
            log::info!(target: "crash", "held request not written. error=\"{e}\"");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn write_due(gateway: &Gateway, records: &dyn QuarantineRecords) -> Result<(), BorderError> {
    let due = gateway.crashes.lock().to_write(gateway.steady_ms());
    for held in due {
        records.write(&held, now_ms()).await?;
        gateway.crashes.lock().note_written(&held);
    }
    Ok(())
}
