use {
    super::*,
    crate::names::*,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
    uuid::Uuid,
};

/// Number of edit identities that the table remembers, to fold an edit once that was appended
/// twice.
pub const MAX_REMEMBERED_EDITS: usize = 256;

/// An entry with the version that set it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Log offset, plus one, of the edit that set the entry.
    pub version: u64,
    /// The entry.
    pub entry: Entry,
}

/// The outcome of folding a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EditOutcome {
    /// The edit is in force from this version on.
    Accepted(u64),
    /// Another edit changed these keys first; nothing of this edit is applied.
    Conflict(Vec<String>),
    /// The edit breaks a rule of the table; nothing of it is applied.
    Invalid(String),
    /// The same edit is already folded.
    Doubled,
    /// The record adds nothing to the table: it is a snapshot, or its offset was already folded.
    Stale,
}

/// The table in force. Every daemon folds the same records by the same rule.
///
/// The version is the log offset, plus one, of the last accepted record. It therefore only grows,
/// and 0 means that there is no table yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The version in force.
    pub version: u64,
    /// Offset of the next record to fold; all records below it are folded.
    pub folded_to: u64,
    /// The entries by key.
    pub entries: BTreeMap<String, Versioned>,
    edits: VecDeque<Uuid>,
}

impl Table {
    /// Folds the record at an offset of the log.
    pub fn fold(&mut self, offset: u64, record: TableRecord) -> EditOutcome {
        if offset < self.folded_to {
            return EditOutcome::Stale;
        }
        self.folded_to = offset + 1;
        match record {
            TableRecord::Edit(edit) => self.fold_edit(offset + 1, edit),
            // A table that has folded all records before the snapshot already has its content.
            TableRecord::Snapshot(_) => EditOutcome::Stale,
        }
    }

    /// Rebuilds the table from the records that retention has left in the log: from the last
    /// snapshot that leaves no gap to the record `first`, and from the edits after it.
    ///
    /// A reader that missed records must not fold later edits without such a snapshot, since it
    /// would apply some changes and lose others. Returns none if there is no such snapshot, or if
    /// the result is not newer than this table.
    pub fn recover(&self, first: u64, records: &[(u64, TableRecord)]) -> Option<Self> {
        let mut table = records.iter().rev().find_map(|(_, record)| match record {
            TableRecord::Snapshot(table) if table.folded_to >= first => Some(table.clone()),
            _ => None,
        })?;
        for (offset, record) in records {
            if *offset >= table.folded_to {
                table.fold(*offset, record.clone());
            }
        }
        let newer = table.folded_to > self.folded_to && table.version >= self.version;
        newer.then_some(table)
    }

    /// Replaces this table with the full table of a peer if that is newer. Returns whether it
    /// did.
    pub fn adopt(&mut self, other: Table) -> bool {
        if other.folded_to <= self.folded_to || other.version < self.version {
            return false;
        }
        *self = other;
        true
    }

    /// Returns the row for an account, service and failure domain.
    pub fn row(
        &self,
        account: &ClientAccount,
        service: &ServiceName,
        failure_domain: &FailureDomain,
    ) -> Option<&Contract> {
        let key = format!("{account}/{service}/{failure_domain}");
        match &self.entries.get(&key)?.entry {
            Entry::Row(c) => Some(c),
            Entry::Account(_) => None,
        }
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountEntry> {
        self.entries.values().filter_map(|v| match &v.entry {
            Entry::Account(a) => Some(a),
            Entry::Row(_) => None,
        })
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &Contract> {
        self.entries.values().filter_map(|v| match &v.entry {
            Entry::Row(c) => Some(c),
            Entry::Account(_) => None,
        })
    }

    /// Returns the version of the entry under a key, 0 for none.
    pub fn version_of(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |v| v.version)
    }

    fn fold_edit(&mut self, version: u64, edit: Edit) -> EditOutcome {
        if self.edits.contains(&edit.id) {
            return EditOutcome::Doubled;
        }
        let conflicts = self.conflicts(&edit);
        if !conflicts.is_empty() {
            return EditOutcome::Conflict(conflicts);
        }
        if let Err(e) = check_edit(self, &edit) {
            return EditOutcome::Invalid(e.to_string());
        }
        for (key, change) in edit.changes {
            match change.entry {
                Some(entry) => self.entries.insert(key, Versioned { version, entry }),
                None => self.entries.remove(&key),
            };
        }
        self.remember_edit(edit.id);
        self.version = version;
        EditOutcome::Accepted(version)
    }

    fn conflicts(&self, edit: &Edit) -> Vec<String> {
        edit.changes
            .iter()
            .filter(|(key, change)| self.version_of(key) != change.base)
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn remember_edit(&mut self, id: Uuid) {
        if self.edits.len() == MAX_REMEMBERED_EDITS {
            self.edits.pop_front();
        }
        self.edits.push_back(id);
    }
}
