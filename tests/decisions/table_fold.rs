//! Tests of applying edits and snapshots of the table: every daemon reaches the same table, and
//! versions never decrease.

use {proptest::prelude::*, saddlepulley::contracts::*, std::collections::BTreeMap, uuid::Uuid};

const FILE: &str = r#"
based_on = 0
[[account]]
name = "acme"
token_sha256 = []
[[row]]
account = "acme"
service = "assistant"
failure_domain = "txc-a"
weight = 2
[[row]]
account = "acme"
service = "lookup"
failure_domain = "txc-a"
"#;

fn file(text: &str) -> TableFile {
    TableFile::parse("t.toml", text).unwrap()
}

fn published() -> Table {
    let mut table = Table::default();
    let edit = file(FILE).edit_of(&table, Uuid::from_u128(1));
    assert_eq!(
        table.fold(0, TableRecord::Edit(edit)),
        EditOutcome::Accepted(1)
    );
    table
}

fn edited(table: &Table, from: &str, to: &str, id: u128) -> Edit {
    let shown = TableFile::show(table);
    assert!(shown.contains(from), "{shown}");
    file(&shown.replacen(from, to, 1)).edit_of(table, Uuid::from_u128(id))
}

#[test]
fn concurrent_edits_of_one_row_accept_the_first_and_reject_the_second() {
    let mut table = published();
    let a = edited(&table, "weight = 2", "weight = 3", 2);
    let b = edited(&table, "weight = 2", "weight = 9", 3);
    assert_eq!(
        table.fold(1, TableRecord::Edit(a)),
        EditOutcome::Accepted(2)
    );
    let key = "acme/assistant/txc-a".to_string();
    assert_eq!(
        table.fold(2, TableRecord::Edit(b)),
        EditOutcome::Conflict(vec![key])
    );
    assert_eq!(table.version, 2);
}

#[test]
fn concurrent_edits_of_different_rows_are_both_accepted() {
    let mut table = published();
    let a = edited(&table, "weight = 2", "weight = 3", 2);
    let b = edited(&table, "weight = 1", "weight = 5", 3);
    assert_eq!(
        table.fold(1, TableRecord::Edit(a)),
        EditOutcome::Accepted(2)
    );
    assert_eq!(
        table.fold(2, TableRecord::Edit(b)),
        EditOutcome::Accepted(3)
    );
}

#[test]
fn a_file_based_on_an_older_version_does_not_revert_later_edits_of_other_rows() {
    let mut table = published();
    let base = table.clone();
    let stale = TableFile::show(&table);
    let a = edited(&table, "weight = 2", "weight = 3", 2);
    table.fold(1, TableRecord::Edit(a));
    let other_row = file(&stale.replacen("weight = 1", "weight = 7", 1));
    let edit = other_row.edit_of(&base, Uuid::from_u128(4));
    assert_eq!(
        table.fold(2, TableRecord::Edit(edit)),
        EditOutcome::Accepted(3)
    );
    let shown = TableFile::show(&table);
    assert!(
        shown.contains("weight = 3") && shown.contains("weight = 7"),
        "{shown}"
    );
}

#[test]
fn an_edit_appended_twice_is_applied_once() {
    let mut table = published();
    let a = edited(&table, "weight = 2", "weight = 3", 2);
    table.fold(1, TableRecord::Edit(a.clone()));
    assert_eq!(table.fold(2, TableRecord::Edit(a)), EditOutcome::Doubled);
    assert_eq!(table.version, 2);
}

#[test]
fn an_invalid_edit_changes_nothing() {
    let mut table = published();
    let mut a = edited(&table, "weight = 2", "weight = 3", 2);
    let Some(Entry::Row(row)) = &mut a.changes.get_mut("acme/assistant/txc-a").unwrap().entry
    else {
        panic!("expected a row");
    };
    row.weight = 0;
    let before = table.entries.clone();
    let decision = table.fold(1, TableRecord::Edit(a));
    insta::assert_debug_snapshot!(decision, @r#"
    Invalid(
        "acme/assistant/txc-a: field `weight`: expected 1 to 1000, found 0",
    )
    "#);
    assert_eq!(table.entries, before);
}

/// Builds a history of edits with duplicates, edits based on stale versions, and snapshots.
fn random_history(steps: &[(u8, u8, bool)]) -> Vec<(u64, TableRecord)> {
    let mut table = Table::default();
    let mut records = Vec::new();
    let first = file(FILE).edit_of(&table, Uuid::from_u128(1));
    let mut push = |table: &mut Table, record: TableRecord| {
        let offset = records.len() as u64;
        table.fold(offset, record.clone());
        records.push((offset, record));
    };
    push(&mut table, TableRecord::Edit(first));
    let mut stale = table.clone();
    for (n, (row, weight, is_stale)) in steps.iter().enumerate() {
        let base = if *is_stale {
            stale.clone()
        } else {
            table.clone()
        };
        let key = ["acme/assistant/txc-a", "acme/lookup/txc-a"][usize::from(*row) % 2];
        let mut entry = base.entries[key].entry.clone();
        if let Entry::Row(c) = &mut entry {
            c.weight = u32::from(*weight) + 1;
        }
        let change = Change {
            base: base.version_of(key),
            entry: Some(entry),
        };
        let edit = Edit {
            id: Uuid::from_u128(100 + n as u128 / 2),
            changes: BTreeMap::from([(key.to_string(), change)]),
        };
        push(&mut table, TableRecord::Edit(edit));
        if *weight % 5 == 0 {
            let snapshot = TableRecord::Snapshot(table.clone());
            push(&mut table, snapshot);
        }
        if *weight % 3 == 0 {
            stale = table.clone();
        }
    }
    records
}

proptest! {
    /// A daemon that starts after the log's retention has dropped the first records recovers from
    /// a snapshot. It must end with the same table as a daemon that read every record, and
    /// versions must never decrease.
    #[test]
    fn a_daemon_that_starts_after_retention_ends_with_the_same_table(
        steps in prop::collection::vec((any::<u8>(), any::<u8>(), any::<bool>()), 1..40),
        first in 0..40u64,
    ) {
        let records = random_history(&steps);
        let mut complete = Table::default();
        let mut last = 0;
        for (offset, record) in &records {
            complete.fold(*offset, record.clone());
            prop_assert!(complete.version >= last);
            last = complete.version;
        }
        let retained: Vec<_> = records.iter().filter(|(o, _)| *o >= first).cloned().collect();
        if first == 0 {
            return Ok(());
        }
        if let Some(recovered) = Table::default().recover(first, &retained) {
            prop_assert_eq!(&recovered.entries, &complete.entries);
            prop_assert_eq!(recovered.version, complete.version);
        }
    }

    /// A daemon that was disconnected may miss records that the log's retention drops meanwhile.
    /// Its recovery from a snapshot must not lead to an older table than the one it had.
    #[test]
    fn recovery_after_missed_records_never_decreases_the_version(
        steps in prop::collection::vec((any::<u8>(), any::<u8>(), any::<bool>()), 1..40),
        read_count in 0..20usize,
        first in 0..40u64,
    ) {
        let records = random_history(&steps);
        let mut mine = Table::default();
        for (offset, record) in records.iter().take(read_count) {
            mine.fold(*offset, record.clone());
        }
        let retained: Vec<_> = records.iter().filter(|(o, _)| *o >= first).cloned().collect();
        if let Some(recovered) = mine.recover(first, &retained) {
            prop_assert!(recovered.version >= mine.version);
            prop_assert!(recovered.folded_to > mine.folded_to);
        }
    }
}
