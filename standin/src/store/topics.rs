use std::{collections::BTreeMap, time::Instant};

/// Who wrote a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writer {
    /// The operator or an upstream, which writes again what a restore of the store lost.
    Outside,
    /// A daemon, through a call to the store.
    Daemon,
}

#[derive(Clone, Debug)]
struct Record {
    bytes: Vec<u8>,
    writer: Writer,
    written: Instant,
}

/// Topics of one partition each.
#[derive(Clone, Debug, Default)]
pub struct Topics {
    topics: BTreeMap<String, Vec<Record>>,
}

impl Topics {
    /// Returns the offset at which the next record of a topic is appended.
    pub fn end(&self, topic: &str) -> u64 {
        self.topics
            .get(topic)
            .map_or(0, |records| records.len() as u64)
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, topic: &str, record: &[u8], writer: Writer) -> u64 {
        let records = self.topics.entry(topic.to_string()).or_default();
        records.push(Record {
            bytes: record.to_vec(),
            writer,
            written: Instant::now(),
        });
        records.len() as u64 - 1
    }

    /// Returns a topic's records from an offset on.
    pub fn read(&self, topic: &str, from: u64) -> impl Iterator<Item = &[u8]> {
        let records = self.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let records = &records[(from as usize).min(records.len())..];
        records.iter().map(|record| record.bytes.as_slice())
    }

    /// Goes back to the state of an earlier time. Returns the records that outside writers
    /// have written since, with their topics.
    pub fn restore(&mut self, state_of: Instant) -> Vec<(String, Vec<u8>)> {
        let mut lost = Vec::new();
        for (topic, records) in &mut self.topics {
            let kept = records.partition_point(|record| record.written <= state_of);
            let dropped = records.drain(kept..);
            let outside = dropped.filter(|record| record.writer == Writer::Outside);
            lost.extend(outside.map(|record| (topic.clone(), record.bytes)));
        }
        lost
    }

    /// Returns true if an outside writer has written the key of a keyed record after `since`.
    pub fn has_newer(&self, topic: &str, record: &[u8], since: Instant) -> bool {
        let Some((key, _)) = split_key(record) else {
            return false;
        };
        let records = self.topics.get(topic).into_iter().flatten();
        let newer = records.filter(|r| r.written > since && r.writer == Writer::Outside);
        let mut keys = newer.filter_map(|r| split_key(&r.bytes));
        keys.any(|(newer, _)| newer == key)
    }

    /// Returns the newest value of each key of a keyed topic, with its offset.
    /// Records without a valid key are skipped.
    pub fn newest(&self, topic: &str) -> BTreeMap<String, (u64, Vec<u8>)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in (0..).zip(self.read(topic, 0)) {
            let Some((key, value)) = split_key(record) else {
                continue;
            };
            let key = String::from_utf8_lossy(key).into_owned();
            match value {
                [] => newest.remove(&key),
                value => newest.insert(key, (offset, value.to_vec())),
            };
        }
        newest
    }
}

/// Encodes a record of a keyed topic. An empty value deletes the key.
pub(super) fn keyed_record(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key);
    record.extend_from_slice(value);
    record
}

/// Splits a keyed record, which begins with the key's length in one byte, into key and
/// value.
fn split_key(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}
