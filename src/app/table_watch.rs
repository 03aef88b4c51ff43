use {
    super::*,
    crate::{contracts::*, names::*, peer::*, provider::*},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// The stream of the log that holds the table's records.
pub const TABLE_STREAM: &str = "table";

/// Maximum time that a read of the log waits for new records, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;
/// Pause before the next read after a failed one.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(250);
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Upper bound on the peers that are queried for their table after a suspension of this daemon.
const MAX_QUERIED_PEERS: usize = 4;
/// Number of records that are kept for peers that lag.
const MAX_KEPT_RECORDS: usize = 64;
/// Number of records after the last snapshot at which a new snapshot of the table is appended,
/// well before the log's retention drops the last one.
pub const SNAPSHOT_INTERVAL_RECORDS: u64 = 50;

/// The table's last records with their offsets, as stored in the log.
#[derive(Clone, Debug, Default)]
pub struct TableRecords {
    records: VecDeque<(u64, String)>,
}

impl TableRecords {
    fn push(&mut self, offset: u64, data: String) {
        if self.records.len() == MAX_KEPT_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back((offset, data));
    }

    /// Returns the records from an offset on, or none if the first of them is no longer kept.
    fn since(&self, from: u64) -> Option<Vec<(u64, String)>> {
        let first = self.records.front()?.0;
        if first > from {
            return None;
        }
        let later = self.records.iter().filter(|(offset, _)| *offset >= from);
        Some(later.cloned().collect())
    }
}

/// Reads the table's records from the log and applies them, without end.
pub async fn watch_table(world: Arc<World>) {
    loop {
        let from = world.active_table().folded_to;
        match world
            .backends
            .log
            .read(TABLE_STREAM, from, READ_WAIT_MS)
            .await
        {
            Ok(page) if page.first > from => recover(&world, page).await,
            Ok(page) => fold_page(&world, page),
            Err(e) => {
                log::debug!(target: "table", "reading the log failed. error=\"{e}\"");
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
    }
}

fn fold_page(world: &Arc<World>, page: LogPage) {
    let records = page
        .records
        .into_iter()
        .map(|r| (r.offset, r.data))
        .collect();
    fold_records(world, records);
    if world.active_table().folded_to >= page.next {
        on_caught_up(world);
    }
}

/// Continues from a snapshot after the log's retention has dropped records that this box has not
/// read.
async fn recover(world: &Arc<World>, page: LogPage) {
    let (first, next) = (page.first, page.next);
    let mut entries = page.records;
    while let Some(last) = entries.last()
        && last.offset + 1 < next
    {
        let from = last.offset + 1;
        match world.backends.log.read(TABLE_STREAM, from, 0).await {
            Ok(page) if !page.records.is_empty() => entries.extend(page.records),
            _ => break,
        }
    }
    let parse = |r: LogEntry| Some((r.offset, serde_json::from_str(&r.data).ok()?));
    let records: Vec<(u64, TableRecord)> = entries.into_iter().filter_map(parse).collect();
    let Some(table) = world.active_table().recover(first, &records) else {
        log::warn!(target: "table", "the log has no snapshot to recover from. first={first}");
        tokio::time::sleep(READ_RETRY_PAUSE).await;
        return;
    };
    if replace_active(world, table) {
        on_caught_up(world);
    }
}

/// Makes a complete table the active one if it is newer than that one; returns true if it was.
fn replace_active(world: &World, table: Table) -> bool {
    let version = table.version;
    let adopted = {
        let mut active = world.table.write();
        let mut mine = (**active).clone();
        let adopted = mine.adopt(table);
        if adopted {
            *active = Arc::new(mine);
            // The kept records end before the offset up to which the new table is folded.
            world.table_records.lock().records.clear();
        }
        adopted
    };
    if adopted {
        announce_active(world, version);
    }
    adopted
}

/// Applies records of the log, from the log itself or from a peer, to the active table.
fn fold_records(world: &Arc<World>, records: Vec<(u64, String)>) {
    if records.is_empty() {
        return;
    }
    let before;
    let after;
    {
        let mut active = world.table.write();
        let mut table = (**active).clone();
        before = table.version;
        for (offset, data) in records {
            if offset < table.folded_to {
                continue;
            }
            match serde_json::from_str::<TableRecord>(&data) {
                Ok(record) => log_edit_outcome(offset, &table.fold(offset, record)),
                Err(e) => {
                    table.folded_to = offset + 1;
                    log::warn!(target: "table", "unreadable table record skipped. offset={offset} error=\"{e}\"");
                }
            }
            world.table_records.lock().push(offset, data);
        }
        after = table.version;
        *active = Arc::new(table);
    }
    if after != before {
        announce_active(world, after);
    }
}

fn log_edit_outcome(offset: u64, outcome: &EditOutcome) {
    if let EditOutcome::Conflict(keys) = outcome {
        log::info!(target: "table", "table edit rejected: conflict. offset={offset} keys={keys:?}");
    }
    if let EditOutcome::Invalid(reason) = outcome {
        log::warn!(target: "table", "table edit rejected: invalid. offset={offset} error=\"{reason}\"");
    }
}

/// Logs a new active table and wakes the tasks that wait for state changes.
fn announce_active(world: &World, version: u64) {
    log::info!(target: "table", "table activated. version={version}");
    metrics::gauge!("saddlepulley_table_version").set(version as f64);
    world.state_changed.notify_waiters();
}

/// Makes the daemon ready once it has folded all records that the log or a peer has.
fn on_caught_up(world: &World) {
    if world.active_table().version > 0 {
        become_ready(world);
    }
}

/// Makes a starting daemon ready to accept requests; does nothing in any other phase.
pub fn become_ready(world: &World) {
    world.phase.send_if_modified(|phase| {
        let starts = *phase == Phase::Starting;
        if starts {
            *phase = Phase::Ready;
            log::info!(target: "app", "ready. table={}", world.active_table().version);
        }
        starts
    });
}

/// Fetches records from a peer whose heartbeat shows a newer table than the active one.
pub fn fetch_newer_table(world: &Arc<World>, heartbeat: &HeartbeatPayload) {
    if !world.settings.trial.relay {
        return;
    }
    let mine = world.active_table().folded_to;
    if heartbeat.table_folded_to <= mine {
        if heartbeat.table_folded_to > 0 && heartbeat.table_folded_to == mine {
            on_caught_up(world);
        }
        return;
    }
    let (world, from) = (world.clone(), heartbeat.from.address);
    tokio::spawn(async move {
        let client = world.links.client(from);
        let mine = world.active_table().folded_to;
        let reply = client
            .call(&PeerCall::FetchTable(mine), FETCH_TIMEOUT)
            .await;
        if let Ok(PeerReply::Table(update)) = reply {
            apply_table_update(&world, update);
        }
    });
}

/// Fetches the table's newer records from the first peer that answers.
pub async fn fetch_table_from_peers(world: &Arc<World>) {
    let from = world.active_table().folded_to;
    for peer in world
        .holder_candidates()
        .into_iter()
        .take(MAX_QUERIED_PEERS)
    {
        let call = PeerCall::FetchTable(from);
        if let Ok(PeerReply::Table(update)) = world.call_box(&peer.id, &call, FETCH_TIMEOUT).await {
            return apply_table_update(world, update);
        }
    }
}

/// Returns the update for a peer that has folded the table up to the offset `from`: the later
/// records, or the complete table if some of them are no longer kept.
pub fn table_update_since(world: &World, from: u64) -> TableUpdate {
    if let Some(records) = world.table_records.lock().since(from) {
        return TableUpdate::Records(records);
    }
    let json = serde_json::to_string(&*world.active_table());
    TableUpdate::Whole(json.unwrap_or_default())
}

fn apply_table_update(world: &Arc<World>, update: TableUpdate) {
    match update {
        TableUpdate::Records(records) => fold_records(world, records),
        TableUpdate::Whole(json) => {
            let Ok(table) = serde_json::from_str::<Table>(&json) else {
                return;
            };
            replace_active(world, table);
        }
    }
    on_caught_up(world);
}

/// Appends a snapshot of the table to the log before the log's retention drops the last one.
///
/// Any box may append it; to save appends only the live entry box with the
/// smallest id does. Two boxes that append at once do no harm: a snapshot carries the version of its table, and folding it
/// changes nothing in a daemon that has this version.
pub async fn append_snapshots(world: Arc<World>) {
    let mut last_at = world.active_table().folded_to;
    let mut last_ms = now_ms();
    let interval_ms = world.settings.platform.log_retention_s * 1_000 / 4;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let table = world.active_table();
        let passed = table.folded_to.saturating_sub(last_at);
        let due =
            passed >= SNAPSHOT_INTERVAL_RECORDS || now_ms().saturating_sub(last_ms) > interval_ms;
        if !due || table.version == 0 || !is_first_box(&world) {
            continue;
        }
        let record = TableRecord::Snapshot((*table).clone());
        let Ok(data) = serde_json::to_string(&record) else {
            continue;
        };
        if world.backends.log.append(TABLE_STREAM, data).await.is_ok() {
            last_at = table.folded_to + 1;
            last_ms = now_ms();
            log::info!(target: "table", "appended a snapshot. version={}", table.version);
        }
    }
}

/// Returns true if this box has the smallest id of the live entry boxes that aren't silent.
fn is_first_box(world: &World) -> bool {
    let boxes = world.boxes.read();
    let first = boxes
        .live_entries()
        .filter(|b| b.id == world.me.id || !world.links.is_silent(&b.id))
        .map(|b| &b.id)
        .min();
    first == Some(&world.me.id)
}
