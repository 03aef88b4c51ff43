use {
    bytes::{Bytes, BytesMut},
    memchr::memmem,
};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits the bytes of a server-sent event stream at event boundaries.
///
/// Only complete events are passed on, so that a stream that breaks off ends after a known
/// event, from which another upstream can continue.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

/// Consecutive complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The id of the first event that has an id.
    pub first_id: Option<u64>,
    /// The id of the last event that has an id.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.partial.extend_from_slice(bytes);
        let end = memmem::rfind(&self.partial, b"\n\n")? + 2;
        let complete = self.partial.split_to(end).freeze();
        let first_id = ids(&complete).next();
        let last_id = ids(&complete).last();
        Some(EventBatch {
            bytes: complete,
            first_id,
            last_id,
        })
    }

    /// Returns whether the buffer ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the incomplete event exceeds `MAX_EVENT_BYTES`.
    pub fn is_too_large(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Returns the ids of the events in order.
fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|b| *b == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
