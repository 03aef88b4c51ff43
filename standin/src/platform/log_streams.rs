use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// A record of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset in the stream.
    pub offset: u64,
    /// Content of the record.
    pub data: String,
}

/// A page of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// Lowest offset that is retained.
    pub first: u64,
    /// Offset that the next append gets.
    pub next: u64,
    /// Records of the page, by offset.
    pub records: Vec<LogEntry>,
}

/// Append-only streams that retain a limited number of records.
#[derive(Debug, Default)]
pub struct LogStreams {
    streams: BTreeMap<String, Stream>,
    /// Number of records that each stream retains; 0 for all.
    pub keep: usize,
    /// Number of appends to all streams.
    pub appends: u64,
}

#[derive(Debug, Default)]
struct Stream {
    next: u64,
    records: VecDeque<LogEntry>,
}

impl LogStreams {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &str, data: String) -> u64 {
        self.appends += 1;
        let keep = self.keep;
        let stream = self.streams.entry(stream.to_string()).or_default();
        let offset = stream.next;
        stream.next += 1;
        stream.records.push_back(LogEntry { offset, data });
        if keep > 0 {
            while stream.records.len() > keep {
                stream.records.pop_front();
            }
        }
        offset
    }

    /// Reads up to `max` records from an offset on.
    pub fn read(&self, stream: &str, from: u64, max: usize) -> LogPage {
        let Some(stream) = self.streams.get(stream) else {
            return LogPage {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        LogPage {
            first: stream.records.front().map_or(stream.next, |r| r.offset),
            next: stream.next,
            records: stream
                .records
                .iter()
                .filter(|r| r.offset >= from)
                .take(max)
                .cloned()
                .collect(),
        }
    }
}
