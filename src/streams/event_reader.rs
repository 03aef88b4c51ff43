use {
    super::{
        EventBatch, EventOrder, EventVerdict, StreamFault, StreamIds, UsualIds,
        event_fields::{BYTE_ORDER_MARK, EventFields},
    },
    bytes::{Buf, Bytes, BytesMut},
};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Reads the events of a stream from the bytes of the upstreams that write it one after another.
///
/// Only complete events that belong to the stream are passed on, so that a stream that breaks off ends after a
/// known event, from which another upstream can continue. The bytes of events are not changed. Lines end as the
/// standard of server-sent events allows: with CR LF, LF or CR.
#[derive(Debug)]
pub struct EventReader {
    order: EventOrder,
    /// Bytes that have not been passed on: an event that is held, and the beginning of the next one.
    unread: BytesMut,
    /// Where in `unread` the present line begins.
    line_start: usize,
    /// Up to where in `unread` the end of the present line has been searched for.
    searched: usize,
    /// The last line ended with CR. A line feed that follows belongs to its end.
    is_after_cr: bool,
    is_first_line: bool,
    /// A byte order mark would stand in the middle of the client's stream, since another upstream began it.
    skips_mark: bool,
    /// Bytes have been passed on to the client.
    has_passed: bool,
    event: EventFields,
}

/// How far bytes were read.
#[derive(Default)]
struct Progress {
    /// Up to where they may go on to the client.
    passed: usize,
    batch: EventBatch,
}

impl EventReader {
    /// Creates a reader of a stream of which the client has the events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            order: EventOrder::after(last_id),
            unread: BytesMut::new(),
            line_start: 0,
            searched: 0,
            is_after_cr: false,
            is_first_line: true,
            skips_mark: false,
            has_passed: false,
            event: EventFields::default(),
        }
    }

    /// Goes on with the stream at another upstream. What the present one has not completed is dropped.
    pub fn continue_elsewhere(&mut self) {
        let mut order = std::mem::take(&mut self.order);
        order.continue_elsewhere();
        *self = Self {
            order,
            skips_mark: self.has_passed,
            has_passed: self.has_passed,
            ..Self::after(None)
        };
    }

    /// Returns the id of the last event that was passed on, or that the client already had.
    pub fn last_id(&self) -> Option<u64> {
        self.order.last()
    }

    /// Returns the ids that the present upstream has written.
    pub fn run_ids(&self) -> StreamIds {
        self.order.run()
    }

    /// Takes in bytes and returns the events that are complete now. `usual`: the ids of the service's streams.
    pub fn push(&mut self, chunk: Bytes, usual: &UsualIds) -> EventBatch {
        let Some(chunk) = self.without_mark(chunk) else {
            return EventBatch::default();
        };
        // Bytes that no event precedes need not be copied.
        if self.unread.is_empty() {
            let progress = self.read(&chunk, usual);
            self.unread.extend_from_slice(&chunk[progress.passed..]);
            return self.pass(progress, |passed| chunk.slice(..passed));
        }
        self.unread.extend_from_slice(&chunk);
        let mut unread = std::mem::take(&mut self.unread);
        let progress = self.read(&unread, usual);
        let passed = unread.split_to(progress.passed).freeze();
        self.unread = unread;
        self.pass(progress, |_| passed)
    }

    /// Returns what is left at the end of an answer: an event that was held, and comments. Returns `None` if
    /// the answer ends inside an event.
    pub fn finish(&mut self) -> Option<EventBatch> {
        let rest = self.unread.get(self.line_start..).unwrap_or_default();
        if self.event.has_field() || !(rest.is_empty() || rest.starts_with(b":")) {
            return None;
        }
        let held = self.order.release();
        self.line_start = 0;
        self.searched = 0;
        Some(EventBatch {
            bytes: self.unread.split().freeze(),
            last_id: held,
            fault: None,
        })
    }

    /// Returns whether the incomplete event exceeds `MAX_EVENT_BYTES`.
    pub fn is_too_large(&self) -> bool {
        self.unread.len() > MAX_EVENT_BYTES
    }

    /// Leaves out a byte order mark. Returns `None` as long as it is not certain that there is one.
    fn without_mark(&mut self, chunk: Bytes) -> Option<Bytes> {
        if !self.skips_mark {
            return Some(chunk);
        }
        self.unread.extend_from_slice(&chunk);
        if self.unread.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.unread) {
            return None;
        }
        self.skips_mark = false;
        let mut chunk = self.unread.split().freeze();
        if chunk.starts_with(BYTE_ORDER_MARK) {
            chunk.advance(BYTE_ORDER_MARK.len());
        }
        Some(chunk)
    }

    fn pass(&mut self, progress: Progress, take: impl FnOnce(usize) -> Bytes) -> EventBatch {
        self.has_passed |= progress.passed > 0;
        self.line_start -= progress.passed;
        self.searched -= progress.passed;
        EventBatch {
            bytes: take(progress.passed),
            ..progress.batch
        }
    }

    /// Reads the lines that are complete, from the present one on.
    fn read(&mut self, bytes: &[u8], usual: &UsualIds) -> Progress {
        let mut progress = Progress::default();
        loop {
            self.skip_line_feed(bytes, &mut progress);
            let from = self.searched.max(self.line_start);
            let Some(length) = memchr::memchr2(b'\n', b'\r', &bytes[from..]) else {
                self.searched = bytes.len();
                return progress;
            };
            let end = from + length;
            let line = &bytes[self.line_start..end];
            self.is_after_cr = bytes[end] == b'\r';
            self.line_start = end + 1;
            self.searched = end + 1;
            let read = match line.is_empty() {
                true => self.end_event(usual, &mut progress),
                false => self.event.add_line(line, self.is_first_line),
            };
            self.is_first_line = false;
            if let Err(fault) = read {
                progress.batch.fault = Some(fault);
                return progress;
            }
        }
    }

    /// Skips the second half of a line's end.
    fn skip_line_feed(&mut self, bytes: &[u8], progress: &mut Progress) {
        let Some(next) = bytes.get(self.line_start).filter(|_| self.is_after_cr) else {
            return;
        };
        self.is_after_cr = false;
        if *next != b'\n' {
            return;
        }
        let ends_passed_event = progress.passed == self.line_start;
        self.line_start += 1;
        if ends_passed_event {
            progress.passed = self.line_start;
        }
    }

    /// Takes in the empty line that ends an event.
    fn end_event(&mut self, usual: &UsualIds, progress: &mut Progress) -> Result<(), StreamFault> {
        let event = std::mem::take(&mut self.event);
        let Some(id) = event.finish()? else {
            if !self.order.is_holding() {
                progress.passed = self.line_start;
            }
            return Ok(());
        };
        if self.order.add(id, usual)? == EventVerdict::Pass {
            progress.passed = self.line_start;
            progress.batch.last_id = Some(id);
        }
        Ok(())
    }
}
