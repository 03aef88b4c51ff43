use super::{MIN_WORK_MS, Room};

/// How long a view is used, in milliseconds. Between two reports of loads, only the requests that
/// this hub itself places change the room.
const VIEW_MS: u64 = 10;

/// A short-lived copy of the room at a service's upstreams. While no request waits, new ones take
/// their room from it, so that the loads need not be added up for each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomView {
    room: Room,
    at_ms: u64,
}

impl RoomView {
    /// Keeps the room that was found at some time.
    pub fn new(room: Room, at_ms: u64) -> Self {
        Self { room, at_ms }
    }

    /// Takes room for a request. As in the queue, a request may take more than what is left.
    /// Returns false if nothing is left or the view is too old: the loads have to be added up again.
    pub fn take(&mut self, work_ms: f64, now_ms: u64) -> bool {
        let is_left = self.room.work_ms > 0.0 && self.room.slots > 0.0;
        if now_ms >= self.at_ms + VIEW_MS || !is_left {
            return false;
        }
        self.room.work_ms -= work_ms.max(MIN_WORK_MS);
        self.room.slots -= 1.0;
        true
    }
}
