use std::collections::BTreeMap;

/// Topics of one partition each.
#[derive(Clone, Debug, Default)]
pub struct Topics {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
}

impl Topics {
    /// Returns the offset at which the next record of a topic is appended.
    pub fn end(&self, topic: &str) -> u64 {
        self.topics
            .get(topic)
            .map_or(0, |records| records.len() as u64)
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, topic: &str, record: &[u8]) -> u64 {
        let records = self.topics.entry(topic.to_string()).or_default();
        records.push(record.to_vec());
        records.len() as u64 - 1
    }

    /// Appends a record of a keyed topic and returns its offset. An empty value deletes the
    /// key.
    pub fn put(&mut self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, &record)
    }

    /// Returns a topic's records from an offset on.
    pub fn read(&self, topic: &str, from: u64) -> &[Vec<u8>] {
        let records = self.topics.get(topic).map_or(&[][..], Vec::as_slice);
        &records[(from as usize).min(records.len())..]
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

/// Splits a keyed record, which begins with the key's length in one byte, into key and
/// value.
fn split_key(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}
