use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time in milliseconds since the Unix epoch.
///
/// Only code that performs I/O calls this; decision code takes the time as an argument.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
