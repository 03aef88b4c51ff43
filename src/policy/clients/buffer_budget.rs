use {
    super::{Added, HeldFor},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// One answer may take one part in this many of the budget while its upstream is still read.
const STREAM_FRACTION: u64 = 8;
/// An answer is cut off for another client or request only if its client has read nothing for this
/// much longer, in milliseconds. A network path repeats a few lost packets in less.
const MIN_UNREAD_MS: u64 = 1_000;
/// Up to this size, the body of a request or a whole answer is held whatever room there is, in bytes:
/// buffers of sockets and connections take as much anyway.
pub const SMALL_BYTES: u64 = 32 * 1024;
/// The memory that a chunk takes beside its bytes.
const CHUNK_OVERHEAD_BYTES: u64 = 64;

/// Accounts for the bytes that a daemon holds for clients that read slowly, and for requests and
/// answers that are being read, against the memory that they may take together.
///
/// If a client stops reading, its answer is read from the upstream as far as the answer's part of the
/// budget allows. Once the budget is used up, the answers that were left unread for longest are cut
/// off for new requests and for clients that read. If no client is that much slower than the others,
/// none is cut off, and reading from the upstreams pauses. Times are milliseconds of a steady clock.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    max_bytes: u64,
    used_bytes: u64,
    last_id: u64,
    held: BTreeMap<u64, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    bytes: u64,
    held_for: HeldFor,
    /// When the client last took something, or when the first bytes arrived that it could take.
    taken_ms: u64,
}

impl Held {
    /// Returns whether more bytes are held whatever room there is.
    fn is_exempt(&self, bytes: u64) -> bool {
        match self.held_for {
            HeldFor::Client => self.bytes == 0,
            HeldFor::Request | HeldFor::Reading => self.bytes + bytes <= SMALL_BYTES,
        }
    }

    /// Returns when the side that takes the bytes last read something. For a body that is still
    /// arriving, that is now.
    fn read_at_ms(&self, now_ms: u64) -> u64 {
        match self.held_for {
            HeldFor::Client => self.taken_ms,
            HeldFor::Request | HeldFor::Reading => now_ms,
        }
    }
}

impl BufferBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            last_id: 0,
            held: BTreeMap::new(),
        }
    }

    /// Returns the bytes that are held.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Returns the bytes that may be held.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Begins to hold bytes. Returns the id under which they are held.
    pub fn open(&mut self, held_for: HeldFor, now_ms: u64) -> u64 {
        self.last_id += 1;
        let held = Held {
            bytes: 0,
            held_for,
            taken_ms: now_ms,
        };
        self.held.insert(self.last_id, held);
        self.last_id
    }

    /// Holds one more chunk, and makes room for it if there is none.
    ///
    /// A client that has taken everything gets its next chunk whatever room there is, and so does
    /// any body of up to [`SMALL_BYTES`]: clients that don't read can't delay these.
    pub fn add(&mut self, id: u64, bytes: usize, now_ms: u64) -> Added {
        let bytes = bytes as u64 + CHUNK_OVERHEAD_BYTES;
        let Some(held) = self.held.get(&id).cloned() else {
            return Added {
                is_held: false,
                shed: Vec::new(),
            };
        };
        let is_exempt = held.is_exempt(bytes);
        let is_within_part = held.bytes + bytes <= self.part_of(held.held_for);
        // A body of which nothing can be taken yet may exceed the budget if it is the only one: it
        // would wait for itself.
        let is_alone = held.held_for != HeldFor::Client && self.used_bytes == held.bytes;
        let shed = match is_exempt || !is_within_part {
            true => Vec::new(),
            false => self.make_room(bytes, held.read_at_ms(now_ms)),
        };
        let is_room = self.used_bytes + bytes <= self.max_bytes;
        let is_held = is_exempt || is_alone || is_within_part && is_room;
        if is_held {
            self.hold(id, bytes, now_ms);
        }
        Added { is_held, shed }
    }

    /// Returns the most bytes that may be held under one id, if there is room.
    fn part_of(&self, held_for: HeldFor) -> u64 {
        match held_for {
            HeldFor::Client => self.max_bytes / STREAM_FRACTION,
            HeldFor::Request | HeldFor::Reading => self.max_bytes,
        }
    }

    fn hold(&mut self, id: u64, bytes: u64, now_ms: u64) {
        if let Some(held) = self.held.get_mut(&id) {
            if held.bytes == 0 {
                held.taken_ms = now_ms;
            }
            held.bytes += bytes;
            self.used_bytes += bytes;
        }
    }

    /// Cuts off unread answers to make room for a request's body of this size, if that is enough.
    /// Holds nothing yet: the returned `is_held` says whether the body would be held now.
    pub fn make_room_for(&mut self, bytes: u64, now_ms: u64) -> Added {
        if bytes <= SMALL_BYTES {
            return Added {
                is_held: true,
                shed: Vec::new(),
            };
        }
        let shed = self.make_room(bytes, now_ms);
        Added {
            is_held: self.used_bytes == 0
                || self.used_bytes.saturating_add(bytes) <= self.max_bytes,
            shed,
        }
    }

    /// Cuts off the answers that were left unread for longest, the largest first among equals, until
    /// there is room. Only answers whose clients last read [`MIN_UNREAD_MS`] before `read_at_ms` are
    /// cut off, and none if all of them together don't make enough room.
    fn make_room(&mut self, bytes: u64, read_at_ms: u64) -> Vec<u64> {
        let is_unread = |held: &Held| {
            held.held_for == HeldFor::Client
                && held.bytes > 0
                && read_at_ms >= held.taken_ms + MIN_UNREAD_MS
        };
        let unread = self.held.values().filter(|held| is_unread(held));
        let unread_bytes: u64 = unread.map(|held| held.bytes).sum();
        let mut shed = Vec::new();
        // Otherwise, answers would be cut off to no use.
        if self.used_bytes.saturating_add(bytes) > self.max_bytes.saturating_add(unread_bytes) {
            return shed;
        }
        while self.used_bytes + bytes > self.max_bytes {
            let unread = self.held.iter().filter(|(_, held)| is_unread(held));
            let longest = unread.min_by_key(|(_, held)| (held.taken_ms, Reverse(held.bytes)));
            let Some(id) = longest.map(|(id, _)| *id) else {
                break;
            };
            self.close(id);
            shed.push(id);
        }
        shed
    }

    /// Records that the client took a chunk, which is no longer held.
    pub fn take(&mut self, id: u64, bytes: usize, now_ms: u64) {
        if let Some(held) = self.held.get_mut(&id) {
            let bytes = held.bytes.min(bytes as u64 + CHUNK_OVERHEAD_BYTES);
            held.bytes -= bytes;
            held.taken_ms = now_ms;
            self.used_bytes -= bytes;
        }
    }

    /// Records that the client can take the answer from now on, or took a part of it that stays in
    /// memory until the end.
    pub fn record_progress(&mut self, id: u64, now_ms: u64) {
        if let Some(held) = self.held.get_mut(&id) {
            held.held_for = HeldFor::Client;
            held.taken_ms = now_ms;
        }
    }

    /// Releases all bytes under an id: they were taken, or are no longer needed.
    pub fn close(&mut self, id: u64) {
        if let Some(held) = self.held.remove(&id) {
            self.used_bytes -= held.bytes;
        }
    }
}
