use {
    bytes::{Bytes, BytesMut},
    memchr::memmem,
};

/// The most that one event may hold, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event stream's bytes, cut at the ends of events.
///
/// Only whole events leave it, so that a stream that breaks off is known up to
/// an event, from which another upstream can go on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// Whole events that stand in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// The id of the first one that has one.
    pub first_id: Option<u64>,
    /// The id of the last one that has one.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.rest.extend_from_slice(bytes);
        let end = memmem::rfind(&self.rest, b"\n\n")? + 2;
        let whole = self.rest.split_to(end).freeze();
        let first_id = ids(&whole).next();
        let last_id = ids(&whole).last();
        Some(EventBatch {
            bytes: whole,
            first_id,
            last_id,
        })
    }

    /// Returns whether part of an event is left over.
    pub fn is_inside_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns whether an event is larger than is accepted.
    pub fn is_too_large(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Takes what is left over.
    pub fn take_partial(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

/// Returns the events' ids in order.
fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|b| *b == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
