use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// A record as a read returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its offset in the stream.
    pub offset: u64,
    /// What was appended.
    pub data: String,
}

/// A page of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The lowest offset that retention has left.
    pub first: u64,
    /// The offset of the next append.
    pub next: u64,
    /// The records.
    pub records: Vec<LogEntry>,
}

/// Append-only streams with offsets and a retention.
#[derive(Debug, Default)]
pub struct LogStreams {
    streams: BTreeMap<String, Stream>,
    /// How many records each stream keeps; 0 for all.
    pub keep: usize,
    /// How many appends were taken.
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

    /// Reads from an offset.
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
