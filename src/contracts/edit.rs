use {
    super::{AccountEntry, Contract},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    uuid::Uuid,
};

/// An entry of the table, stored under one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A client account.
    Account(AccountEntry),
    /// A row.
    Row(Contract),
}

impl Entry {
    /// Returns the key under which the table stores the entry.
    pub fn key(&self) -> String {
        match self {
            Self::Account(a) => format!("account:{}", a.name),
            Self::Row(c) => format!("{}/{}/{}", c.account, c.service, c.failure_domain),
        }
    }
}

/// One change of an edit: the new value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the entry that the change is based on; 0 if there was none.
    pub base: u64,
    /// The new entry, or none to remove the key.
    pub entry: Option<Entry>,
}

/// An edit of the table, as operators append it to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identity of the edit. An edit that was appended twice is folded once.
    pub id: Uuid,
    /// The changes by key.
    pub changes: BTreeMap<String, Change>,
}

/// A record of the log's `table` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableRecord {
    /// An edit.
    Edit(Edit),
    /// The full table at an earlier version, appended before retention drops the records that it
    /// was folded from.
    Snapshot(super::Table),
}
