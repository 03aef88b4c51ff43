use serde::{Deserialize, Serialize};

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// When the line was logged, in Unix milliseconds.
    pub time_ms: u64,
    /// The level: `INFO`, `WARN` or `ERROR`.
    pub level: String,
    /// The part of the daemon that logged it.
    pub part: String,
    /// A short sentence, then `key=value` pairs.
    pub message: String,
}

impl LogLine {
    /// Returns the value of a key in the message.
    pub fn value(&self, key: &str) -> Option<&str> {
        let pairs = self.message.split_whitespace();
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(k, _)| *k == key)
            .map(|(_, v)| v)
    }
}
