use {
    super::{CliError, block_on, finish, operator_client::*},
    crate::{app::TABLE_STREAM, contracts::*, names::*, provider::*},
    pico_args::Arguments,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const DEFAULT_WAIT_S: u64 = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of attempts to append an edit whose answer is lost or refused.
const MAX_APPEND_ATTEMPTS: u32 = 5;

/// A record of the table's log and the outcome of folding it.
pub struct FoldedRecord {
    /// Offset of the record in the log.
    pub offset: u64,
    /// The record.
    pub record: TableRecord,
    /// Outcome of folding the record.
    pub outcome: EditOutcome,
}

/// Runs `table`.
pub fn table(mut args: Arguments) -> Result<(), CliError> {
    let command = args.subcommand()?.unwrap_or_default();
    let platform: SocketAddr = args.value_from_str("--platform")?;
    let log = PlatformHttp::new(platform);
    match command.as_str() {
        "show" => {
            finish(args)?;
            let (table, _) = block_on(read_table(&log))?;
            print!("{}", TableFile::show(&table));
            Ok(())
        }
        "log" => {
            finish(args)?;
            print_log(&block_on(read_table(&log))?.1);
            Ok(())
        }
        "diff" => {
            let path: PathBuf = args.free_from_str()?;
            finish(args)?;
            let file = TableFile::read(&path)?;
            let edit = block_on(async { edit_for(&read_log(&log).await?, &file) })?;
            print_edit(&edit);
            Ok(())
        }
        "publish" => {
            let at: Option<String> = args.opt_value_from_str("--at")?;
            let wait_s = args
                .opt_value_from_str("--wait-s")?
                .unwrap_or(DEFAULT_WAIT_S);
            let path: PathBuf = args.free_from_str()?;
            finish(args)?;
            let file = TableFile::read(&path)?;
            let at = at.map_or(Ok(Vec::new()), |at| parse_addrs(&at))?;
            block_on(async {
                let version = publish(&log, &file).await?;
                println!("accepted. version={version}");
                wait_in_force(version, &at, Duration::from_secs(wait_s)).await
            })
        }
        other => Err(CliError::Usage(format!("no command `table {other}`"))),
    }
}

/// Publishes a file as one edit and returns the version of the table that the edit produced.
///
/// An append whose answer is lost is retried. Its edit keeps its identity, so that it is folded
/// only once.
pub async fn publish(log: &dyn PlatformLog, file: &TableFile) -> Result<u64, CliError> {
    let records = read_log(log).await?;
    let edit = edit_for(&records, file)?;
    if edit.changes.is_empty() {
        return Ok(records.fold()?.0.version);
    }
    let id = edit.id;
    let data = serde_json::to_string(&TableRecord::Edit(edit)).unwrap_or_default();
    let mut attempts = 0;
    loop {
        attempts += 1;
        let appended = log.append(TABLE_STREAM, data.clone()).await;
        match read_table(log).await {
            Ok((_, folded)) => {
                if let Some(outcome) = outcome_of(&folded, id) {
                    return accepted_version(outcome);
                }
            }
            Err(e) if attempts >= MAX_APPEND_ATTEMPTS => return Err(e),
            Err(_) => {}
        }
        if attempts >= MAX_APPEND_ATTEMPTS {
            appended?;
            return Err(CliError::Failed("the edit is not in the log".to_string()));
        }
        tokio::time::sleep(POLL_INTERVAL * attempts).await;
    }
}

/// Reads the table from the log, with the outcome of every record.
///
/// # Errors
///
/// Returns an error if the log can't be read, or if its first records are gone and no snapshot
/// replaces them.
pub async fn read_table(log: &dyn PlatformLog) -> Result<(Table, Vec<FoldedRecord>), CliError> {
    read_log(log).await?.fold()
}

/// The records of the log's `table` stream, from the oldest that the log still holds.
struct TableLog {
    first: u64,
    records: Vec<(u64, TableRecord)>,
}

impl TableLog {
    fn fold(&self) -> Result<(Table, Vec<FoldedRecord>), CliError> {
        let mut table = self.start()?;
        let mut folded = Vec::new();
        for (offset, record) in &self.records {
            folded.push(FoldedRecord {
                offset: *offset,
                record: record.clone(),
                outcome: table.fold(*offset, record.clone()),
            });
        }
        Ok((table, folded))
    }

    /// Returns the table as it was at a version, or none if the log no longer holds that version.
    fn at_version(&self, version: u64) -> Option<Table> {
        let mut table = if version == 0 {
            return Some(Table::default());
        } else {
            self.start().ok()?
        };
        for (offset, record) in &self.records {
            if table.version >= version {
                break;
            }
            table.fold(*offset, record.clone());
        }
        (table.version == version).then_some(table)
    }

    fn start(&self) -> Result<Table, CliError> {
        if self.first == 0 {
            return Ok(Table::default());
        }
        let none = "the log has no snapshot of the table to start from";
        snapshot_base(self.first, &self.records).ok_or_else(|| CliError::Failed(none.to_string()))
    }
}

async fn read_log(log: &dyn PlatformLog) -> Result<TableLog, CliError> {
    let mut records = Vec::new();
    let mut first = 0;
    let mut from = 0;
    loop {
        let page = log.read(TABLE_STREAM, from, 0).await?;
        first = if from == 0 { page.first } else { first };
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset + 1;
        for entry in &page.records {
            if let Ok(record) = serde_json::from_str::<TableRecord>(&entry.data) {
                records.push((entry.offset, record));
            }
        }
        if from >= page.next {
            break;
        }
    }
    Ok(TableLog { first, records })
}

/// Computes the edit that a file makes to the table. Changes that the table already has are left
/// out.
fn edit_for(log: &TableLog, file: &TableFile) -> Result<Edit, CliError> {
    let (current, _) = log.fold()?;
    let Some(base) = log.at_version(file.based_on) else {
        let why = format!(
            "all rows: the log no longer holds the version `based_on = {}`",
            file.based_on
        );
        return Err(CliError::Conflict(why));
    };
    let mut edit = file.edit_of(&base, Uuid::now_v7());
    edit.changes
        .retain(|key, change| current.entries.get(key).map(|v| &v.entry) != change.entry.as_ref());
    Ok(edit)
}

fn snapshot_base(first: u64, records: &[(u64, TableRecord)]) -> Option<Table> {
    records.iter().rev().find_map(|(_, record)| match record {
        TableRecord::Snapshot(table) if table.folded_to >= first => Some(table.clone()),
        _ => None,
    })
}

fn outcome_of(folded: &[FoldedRecord], id: Uuid) -> Option<EditOutcome> {
    let is_it = |f: &&FoldedRecord| matches!(&f.record, TableRecord::Edit(e) if e.id == id);
    folded.iter().find(is_it).map(|f| f.outcome.clone())
}

fn accepted_version(outcome: EditOutcome) -> Result<u64, CliError> {
    match outcome {
        EditOutcome::Accepted(version) => Ok(version),
        EditOutcome::Conflict(keys) => Err(CliError::Conflict(keys.join(", "))),
        EditOutcome::Invalid(why) => Err(CliError::Failed(why)),
        EditOutcome::Doubled | EditOutcome::Stale => {
            Err(CliError::Failed("the edit was already folded".to_string()))
        }
    }
}

/// Waits until a version is in force on all given daemons, and prints for each failure domain
/// when it came in force.
async fn wait_in_force(version: u64, at: &[SocketAddr], wait: Duration) -> Result<(), CliError> {
    let client = OperatorClient::from_env();
    let started = Instant::now();
    let mut pending: Vec<SocketAddr> = at.to_vec();
    let mut domains: BTreeMap<FailureDomain, Duration> = BTreeMap::new();
    while !pending.is_empty() {
        let mut not_reached = Vec::new();
        for addr in pending {
            match client.status(addr).await {
                Ok(s) if s.table_version >= version => {
                    domains.insert(s.failure_domain, started.elapsed());
                }
                _ => not_reached.push(addr),
            }
        }
        pending = not_reached;
        if started.elapsed() > wait {
            break;
        }
        if !pending.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    for (domain, after) in &domains {
        println!("in force. domain={domain} after_ms={}", after.as_millis());
    }
    if pending.is_empty() {
        return Ok(());
    }
    Err(CliError::Failed(format!("not in force yet on {pending:?}")))
}

fn print_edit(edit: &Edit) {
    if edit.changes.is_empty() {
        println!("no change");
    }
    for (key, change) in &edit.changes {
        let what = match (&change.entry, change.base) {
            (None, _) => "take away",
            (Some(_), 0) => "add",
            (Some(_), _) => "change",
        };
        println!("{what} {key} (based on version {})", change.base);
    }
}

fn print_log(folded: &[FoldedRecord]) {
    for f in folded {
        match &f.record {
            TableRecord::Edit(e) => {
                let keys: Vec<&str> = e.changes.keys().map(String::as_str).collect();
                println!(
                    "{} edit {} {:?} {}",
                    f.offset,
                    e.id,
                    f.outcome,
                    keys.join(", ")
                );
            }
            TableRecord::Snapshot(t) => println!("{} snapshot of version {}", f.offset, t.version),
        }
    }
}
