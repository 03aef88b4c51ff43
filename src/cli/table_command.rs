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
const POLL: Duration = Duration::from_millis(100);
/// How often an append is tried whose answer is lost or refused.
const APPEND_TRIES: u32 = 5;

/// An edit or snapshot of the log with what became of it.
pub struct Folded {
    /// The offset in the log.
    pub offset: u64,
    /// The record.
    pub record: TableRecord,
    /// What became of it.
    pub verdict: EditOutcome,
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

/// Publishes a file as one edit, and returns the version that it made.
///
/// The edit's identity makes an append that is repeated after a lost answer
/// fold once.
pub async fn publish(log: &dyn PlatformLog, file: &TableFile) -> Result<u64, CliError> {
    let records = read_log(log).await?;
    let edit = edit_for(&records, file)?;
    if edit.changes.is_empty() {
        return Ok(records.fold()?.0.version);
    }
    let id = edit.id;
    let data = serde_json::to_string(&TableRecord::Edit(edit)).unwrap_or_default();
    let mut tries = 0;
    loop {
        tries += 1;
        let appended = log.append(TABLE_STREAM, data.clone()).await;
        match read_table(log).await {
            Ok((_, folded)) => {
                if let Some(verdict) = verdict_of(&folded, id) {
                    return to_version(verdict);
                }
            }
            Err(e) if tries >= APPEND_TRIES => return Err(e),
            Err(_) => {}
        }
        if tries >= APPEND_TRIES {
            appended?;
            return Err(CliError::Failed("the edit is not in the log".to_string()));
        }
        tokio::time::sleep(POLL * tries).await;
    }
}

/// Reads the table from the log, with every record's verdict.
///
/// # Errors
///
/// Returns how the log could not be read, or that it has no start.
pub async fn read_table(log: &dyn PlatformLog) -> Result<(Table, Vec<Folded>), CliError> {
    read_log(log).await?.fold()
}

/// What the log's stream of the table holds.
struct TableLog {
    first: u64,
    records: Vec<(u64, TableRecord)>,
}

impl TableLog {
    fn fold(&self) -> Result<(Table, Vec<Folded>), CliError> {
        let mut table = self.start()?;
        let mut folded = Vec::new();
        for (offset, record) in &self.records {
            folded.push(Folded {
                offset: *offset,
                record: record.clone(),
                verdict: table.fold(*offset, record.clone()),
            });
        }
        Ok((table, folded))
    }

    /// Returns the table as it was at a version, if the log still tells.
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

/// Works out the edit that a file makes. What already stands in the table is no
/// change.
fn edit_for(log: &TableLog, file: &TableFile) -> Result<Edit, CliError> {
    let (current, _) = log.fold()?;
    let Some(base) = log.at_version(file.based_on) else {
        let why = format!(
            "all rows: `based_on = {}` is older than the log tells",
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

fn verdict_of(folded: &[Folded], id: Uuid) -> Option<EditOutcome> {
    let is_it = |f: &&Folded| matches!(&f.record, TableRecord::Edit(e) if e.id == id);
    folded.iter().find(is_it).map(|f| f.verdict.clone())
}

fn to_version(verdict: EditOutcome) -> Result<u64, CliError> {
    match verdict {
        EditOutcome::Accepted(version) => Ok(version),
        EditOutcome::Conflict(keys) => Err(CliError::Conflict(keys.join(", "))),
        EditOutcome::Invalid(why) => Err(CliError::Failed(why)),
        EditOutcome::Doubled | EditOutcome::Stale => {
            Err(CliError::Failed("the edit was folded before".to_string()))
        }
    }
}

/// Waits until a version is in force on all named daemons, and shows when it
/// came in force in each failure domain.
async fn wait_in_force(version: u64, at: &[SocketAddr], wait: Duration) -> Result<(), CliError> {
    let client = OperatorClient::from_env();
    let started = Instant::now();
    let mut open: Vec<SocketAddr> = at.to_vec();
    let mut domains: BTreeMap<FailureDomain, Duration> = BTreeMap::new();
    while !open.is_empty() {
        let mut still = Vec::new();
        for addr in open {
            match client.status(addr).await {
                Ok(s) if s.table_version >= version => {
                    domains.insert(s.failure_domain, started.elapsed());
                }
                _ => still.push(addr),
            }
        }
        open = still;
        if started.elapsed() > wait {
            break;
        }
        if !open.is_empty() {
            tokio::time::sleep(POLL).await;
        }
    }
    for (domain, after) in &domains {
        println!("in force. domain={domain} after_ms={}", after.as_millis());
    }
    if open.is_empty() {
        return Ok(());
    }
    Err(CliError::Failed(format!("not in force yet on {open:?}")))
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

fn print_log(folded: &[Folded]) {
    for f in folded {
        match &f.record {
            TableRecord::Edit(e) => {
                let keys: Vec<&str> = e.changes.keys().map(String::as_str).collect();
                println!(
                    "{} edit {} {:?} {}",
                    f.offset,
                    e.id,
                    f.verdict,
                    keys.join(", ")
                );
            }
            TableRecord::Snapshot(t) => println!("{} snapshot of version {}", f.offset, t.version),
        }
    }
}
