use {
    super::{AccountEntry, Contract},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    uuid::Uuid,
};

/// What the table holds under one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A client account.
    Account(AccountEntry),
    /// A row.
    Row(Contract),
}

impl Entry {
    /// Returns the key under which the table holds the entry.
    pub fn key(&self) -> String {
        match self {
            Self::Account(a) => format!("account:{}", a.name),
            Self::Row(c) => format!("{}/{}/{}", c.account, c.service, c.failure_domain),
        }
    }
}

/// One change of an edit: what stands under a key from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the entry that the change was based on; 0 for none.
    pub base: u64,
    /// The new entry, or none to take it away.
    pub entry: Option<Entry>,
}

/// An edit of the table, as operators append it to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// The edit's identity; an append that was doubled folds once.
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
    /// The whole table at an earlier version, appended again before retention drops it.
    Snapshot(super::Table),
}
