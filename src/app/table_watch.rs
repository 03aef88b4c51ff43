use {
    super::*,
    crate::{contracts::*, names::*, peer::*, provider::*},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// The log's stream of the table.
pub const TABLE_STREAM: &str = "table";

const READ_WAIT_MS: u64 = 2_000;
const READ_PAUSE: Duration = Duration::from_millis(250);
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Peers that are asked for their table after a pause.
const ASKED_PEERS: usize = 4;
/// Records kept for peers that lag.
const KEPT_RECORDS: usize = 64;
/// The table is appended again when this many records have passed since it was
/// last whole in the log, well before retention drops it.
pub const SNAPSHOT_EVERY: u64 = 50;

/// The table's last records, as they stand in the log.
#[derive(Clone, Debug, Default)]
pub struct TableRecords {
    records: VecDeque<(u64, String)>,
}

impl TableRecords {
    fn push(&mut self, offset: u64, data: String) {
        if self.records.len() == KEPT_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back((offset, data));
    }

    /// Returns the records from an offset on, if none of them is missing.
    fn since(&self, from: u64) -> Option<Vec<(u64, String)>> {
        let first = self.records.front()?.0;
        if first > from {
            return None;
        }
        let later = self.records.iter().filter(|(offset, _)| *offset >= from);
        Some(later.cloned().collect())
    }
}

/// Follows the table in the log.
pub async fn watch_table(world: Arc<World>) {
    loop {
        let from = world.active_table().folded_to;
        match world
            .borders
            .log
            .read(TABLE_STREAM, from, READ_WAIT_MS)
            .await
        {
            Ok(page) if page.first > from => recover(&world, page).await,
            Ok(page) => fold_page(&world, page),
            Err(e) => {
                log::debug!(target: "table", "the log can't be read. error=\"{e}\"");
                tokio::time::sleep(READ_PAUSE).await;
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
        after_catching_up(world);
    }
}

/// Retention passed this box's place in the log: it goes on from a snapshot.
async fn recover(world: &Arc<World>, page: LogPage) {
    let (first, next) = (page.first, page.next);
    let mut entries = page.records;
    while let Some(last) = entries.last()
        && last.offset + 1 < next
    {
        let from = last.offset + 1;
        match world.borders.log.read(TABLE_STREAM, from, 0).await {
            Ok(page) if !page.records.is_empty() => entries.extend(page.records),
            _ => break,
        }
    }
    let parse = |r: LogEntry| Some((r.offset, serde_json::from_str(&r.data).ok()?));
    let records: Vec<(u64, TableRecord)> = entries.into_iter().filter_map(parse).collect();
    let Some(table) = world.active_table().recover(first, &records) else {
        log::warn!(target: "table", "the log has no snapshot to go on from. first={first}");
        tokio::time::sleep(READ_PAUSE).await;
        return;
    };
    if replace(world, table) {
        after_catching_up(world);
    }
}

/// Puts a whole table in force if it is newer than the one that is.
fn replace(world: &World, table: Table) -> bool {
    let version = table.version;
    let adopted = {
        let mut in_force = world.table.write();
        let mut mine = (**in_force).clone();
        let adopted = mine.adopt(table);
        if adopted {
            *in_force = Arc::new(mine);
            // What was kept for peers ends before the table's new place.
            world.table_records.lock().records.clear();
        }
        adopted
    };
    if adopted {
        in_force_now(world, version);
    }
    adopted
}

/// Folds records of the log, from the log itself or from a peer.
fn fold_records(world: &Arc<World>, records: Vec<(u64, String)>) {
    if records.is_empty() {
        return;
    }
    let before;
    let after;
    {
        let mut in_force = world.table.write();
        let mut table = (**in_force).clone();
        before = table.version;
        for (offset, data) in records {
            if offset < table.folded_to {
                continue;
            }
            match serde_json::from_str::<TableRecord>(&data) {
                Ok(record) => tell_verdict(offset, &table.fold(offset, record)),
                Err(e) => {
                    table.folded_to = offset + 1;
                    log::warn!(target: "table", "a record can't be read. offset={offset} error=\"{e}\"");
                }
            }
            world.table_records.lock().push(offset, data);
        }
        after = table.version;
        *in_force = Arc::new(table);
    }
    if after != before {
        in_force_now(world, after);
    }
}

fn tell_verdict(offset: u64, verdict: &EditOutcome) {
    if let EditOutcome::Conflict(keys) = verdict {
        log::info!(target: "table", "an edit conflicts. offset={offset} keys={keys:?}");
    }
    if let EditOutcome::Invalid(why) = verdict {
        log::warn!(target: "table", "an edit is invalid. offset={offset} error=\"{why}\"");
    }
}

fn in_force_now(world: &World, version: u64) {
    log::info!(target: "table", "in force. version={version}");
    metrics::gauge!("saddlepulley_table_version").set(version as f64);
    world.news.notify_waiters();
}

/// A daemon that has what the log or a peer has is ready.
fn after_catching_up(world: &World) {
    if world.active_table().version > 0 {
        become_ready(world);
    }
}

/// Takes requests from now on, unless this box is stopping.
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

/// Fetches what a peer has folded and this box has not.
pub fn fetch_newer_table(world: &Arc<World>, news: &HeartbeatPayload) {
    if !world.settings.trial.relay {
        return;
    }
    let mine = world.active_table().folded_to;
    if news.table_folded_to <= mine {
        if news.table_folded_to > 0 && news.table_folded_to == mine {
            after_catching_up(world);
        }
        return;
    }
    let (world, from) = (world.clone(), news.from.address);
    tokio::spawn(async move {
        let client = world.links.client(from);
        let mine = world.active_table().folded_to;
        let reply = client
            .call(&PeerCall::FetchTable(mine), FETCH_TIMEOUT)
            .await;
        if let Ok(PeerReply::Table(news)) = reply {
            take_table(&world, news);
        }
    });
}

/// Fetches what a peer has and this box lacks, from the first that answers.
pub async fn fetch_table_from_peers(world: &Arc<World>) {
    let from = world.active_table().folded_to;
    for peer in world.holder_candidates().into_iter().take(ASKED_PEERS) {
        let call = PeerCall::FetchTable(from);
        if let Ok(PeerReply::Table(news)) = world.call_box(&peer.id, &call, FETCH_TIMEOUT).await {
            return take_table(world, news);
        }
    }
}

/// Returns what this box tells of the table to a peer that has folded to `from`.
pub fn table_update_since(world: &World, from: u64) -> TableUpdate {
    if let Some(records) = world.table_records.lock().since(from) {
        return TableUpdate::Records(records);
    }
    let whole = serde_json::to_string(&*world.active_table());
    TableUpdate::Whole(whole.unwrap_or_default())
}

fn take_table(world: &Arc<World>, news: TableUpdate) {
    match news {
        TableUpdate::Records(records) => fold_records(world, records),
        TableUpdate::Whole(json) => {
            let Ok(table) = serde_json::from_str::<Table>(&json) else {
                return;
            };
            replace(world, table);
        }
    }
    after_catching_up(world);
}

/// Appends the table again before the log's retention drops its last whole copy.
///
/// Any box may do it, and two at once do no harm: a snapshot carries the
/// version it shows and folds to nothing where that is known.
pub async fn append_snapshots(world: Arc<World>) {
    let mut last_at = world.active_table().folded_to;
    let mut last_ms = now_ms();
    let interval_ms = world.settings.platform.log_retention_s * 1_000 / 4;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let table = world.active_table();
        let passed = table.folded_to.saturating_sub(last_at);
        let due = passed >= SNAPSHOT_EVERY || now_ms().saturating_sub(last_ms) > interval_ms;
        if !due || table.version == 0 || !is_first_box(&world) {
            continue;
        }
        let record = TableRecord::Snapshot((*table).clone());
        let Ok(data) = serde_json::to_string(&record) else {
            continue;
        };
        if world.borders.log.append(TABLE_STREAM, data).await.is_ok() {
            last_at = table.folded_to + 1;
            last_ms = now_ms();
            log::info!(target: "table", "appended a snapshot. version={}", table.version);
        }
    }
}

fn is_first_box(world: &World) -> bool {
    let boxes = world.boxes.read();
    let first = boxes
        .live_entries()
        .filter(|b| b.id == world.me.id || !world.links.is_silent(&b.id))
        .map(|b| &b.id)
        .min();
    first == Some(&world.me.id)
}
