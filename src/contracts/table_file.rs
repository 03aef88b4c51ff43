use {
    super::*,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        path::Path,
    },
    uuid::Uuid,
};

/// The table as operators keep it under version control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableFile {
    /// Version of the table that the file is based on; `table show` writes it.
    #[serde(default)]
    pub based_on: u64,
    /// The client accounts.
    #[serde(default, rename = "account")]
    pub accounts: Vec<AccountEntry>,
    /// The rows.
    #[serde(default, rename = "row")]
    pub rows: Vec<Contract>,
}

impl TableFile {
    /// Reads, parses and checks a table file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or the line and field that are wrong.
    pub fn read(path: &Path) -> Result<Self, TableError> {
        let text = fs::read_to_string(path).map_err(|source| TableError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks the text of a file; `path` is used only in errors.
    ///
    /// # Errors
    ///
    /// Returns the line and field that are wrong.
    pub fn parse(path: &str, text: &str) -> Result<Self, TableError> {
        let file: Self = toml::from_str(text).map_err(|e| TableError::Parse {
            path: path.to_string(),
            line: line_of(text, e.span().map_or(0, |s| s.start)),
            message: e.message().to_string(),
        })?;
        file.check().map_err(|e| TableError::Parse {
            path: path.to_string(),
            line: line_of_entry(text, &file, &e),
            message: e.to_string(),
        })?;
        Ok(file)
    }

    /// Formats a table as the text of a file.
    pub fn show(table: &Table) -> String {
        let file = Self {
            based_on: table.version,
            accounts: table.accounts().cloned().collect(),
            rows: table.rows().cloned().collect(),
        };
        toml::to_string(&file).unwrap_or_default()
    }

    /// Returns the file's entries by key.
    pub fn entries(&self) -> BTreeMap<String, Entry> {
        self.all_entries().map(|e| (e.key(), e)).collect()
    }

    /// Computes the edit that turns the table on which this file is based into the file's. It
    /// holds only what the author changed, so that edits of different rows don't conflict; the fold
    /// detects edits of the same row.
    pub fn edit_of(&self, base: &Table, id: Uuid) -> Edit {
        let wanted = self.entries();
        let mut changes = BTreeMap::new();
        for (key, entry) in &wanted {
            let before = base.entries.get(key);
            if before.is_none_or(|v| v.entry != *entry) {
                let base = base.version_of(key);
                let entry = Some(entry.clone());
                changes.insert(key.clone(), Change { base, entry });
            }
        }
        for (key, v) in &base.entries {
            if !wanted.contains_key(key) {
                let base = v.version;
                changes.insert(key.clone(), Change { base, entry: None });
            }
        }
        Edit { id, changes }
    }

    fn all_entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let accounts = self.accounts.iter().cloned().map(Entry::Account);
        accounts.chain(self.rows.iter().cloned().map(Entry::Row))
    }

    fn check(&self) -> Result<(), TableError> {
        let accounts: BTreeSet<String> = self.accounts.iter().map(|a| a.name.to_string()).collect();
        let mut seen = BTreeSet::new();
        for entry in self.all_entries() {
            check_entry(&entry, &accounts)?;
            if !seen.insert(entry.key()) {
                return Err(TableError::Duplicate { key: entry.key() });
            }
        }
        Ok(())
    }
}

/// Returns the number of the line, counted from 1, that holds a byte position.
pub fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}

/// Returns the line of the entry or field that an error names. Of duplicate entries, it is the
/// last one.
fn line_of_entry(text: &str, file: &TableFile, e: &TableError) -> usize {
    let (key, field, last) = match e {
        TableError::Field { key, field, .. } => (key, Some(*field), false),
        TableError::Duplicate { key } => (key, None, true),
        _ => return 1,
    };
    let pick = |keys: Vec<String>| {
        if last {
            keys.iter().rposition(|k| k == key)
        } else {
            keys.iter().position(|k| k == key)
        }
    };
    let accounts = file
        .accounts
        .iter()
        .cloned()
        .map(|a| Entry::Account(a).key());
    let rows = file.rows.iter().cloned().map(|c| Entry::Row(c).key());
    let found = pick(accounts.collect())
        .map(|n| ("[[account]]", n))
        .or_else(|| pick(rows.collect()).map(|n| ("[[row]]", n)));
    let Some((header, n)) = found else { return 1 };
    line_in_block(text, header, n, field)
}

fn line_in_block(text: &str, header: &str, n: usize, field: Option<&str>) -> usize {
    let mut lines = text.lines().enumerate();
    let start = lines
        .by_ref()
        .filter(|(_, l)| l.trim() == header)
        .nth(n)
        .map_or(0, |(i, _)| i);
    let Some(field) = field else { return start + 1 };
    for (i, line) in lines {
        if line.trim().starts_with("[[") {
            break;
        }
        let name = line.split('=').next().unwrap_or("").trim();
        if name == field || line.trim() == format!("[row.{field}]") {
            return i + 1;
        }
    }
    start + 1
}
